// tamarackd: runs a daemon of the fleet, or with "router" a router instance.
#include "daemon.hpp"
#include "router.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SSLManager.h>

#include <csignal>
#include <iostream>
#include <malloc.h>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

// Blocks the stop signals for all threads; the main thread receives them by
// sigwait.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

constexpr std::string_view RouterCommand = "router";
// Larger blocks are returned to the system when they are freed. By default the
// allocator keeps them once some have been freed, up to many times this size.
constexpr int MappedBlockBytes = 128 * 1024;

// Runs "tamarackd router": a router instance on the platform's keyed store,
// with one event loop.
int runRouter(int Count, char **Arguments) {
  using namespace tamarack;
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  daemon::router_settings Settings;
  if (!daemon::readRouterSettings(Count, Arguments, Settings))
    return 0;
  adapters::startEventLogging();
  daemon::router Router(Settings);
  Router.LoadSettings = [Count, Arguments] {
    daemon::router_settings NewSettings;
    daemon::readRouterSettings(Count, Arguments, NewSettings);
    return NewSettings;
  };
  Router.run();
  // The shutdown is complete. Destructors would only wait for threads of
  // libraries.
  std::cout.flush();
  std::_Exit(0);
}

int run(int Count, char **Arguments) {
  using namespace tamarack;
  if (Count > 1 && Arguments[1] == RouterCommand)
    return runRouter(Count - 1, Arguments + 1);
  daemon::daemon_settings Settings;
  if (!daemon::readSettings(Count, Arguments, Settings))
    return 0;
  adapters::startLogging(Settings.LogLevel, Settings.LogFormat,
                         Settings.Instance);
  const sigset_t Signals = blockSignals();
  daemon::tamarack_daemon Daemon(Settings);
  Daemon.start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Daemon.drainAndStop();
  // The shutdown is complete. Destructors would only wait for threads that are
  // in long polls of the log.
  std::cout.flush();
  std::_Exit(0);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const tamarack::adapters::settings_error &Error) {
    std::cerr << "tamarackd: " << Error.what() << "\n";
    return ExitUsage;
  } catch (const Poco::Exception &Error) {
    std::cerr << "tamarackd: " << Error.displayText() << "\n";
    return ExitFailure;
  } catch (const std::exception &Error) {
    std::cerr << "tamarackd: " << Error.what() << "\n";
    return ExitFailure;
  }
}
