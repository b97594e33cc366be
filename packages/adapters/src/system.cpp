// Clock, random numbers and TLS contexts.
#include "tamarack/adapters.hpp"

#include <chrono>
#include <ctime>
#include <fstream>

namespace tamarack::adapters {

namespace {

template <typename clock_type> time_ms readMilliseconds() {
  const auto SinceEpoch = clock_type::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

time_ms readMilliseconds(clockid_t Clock) {
  timespec Elapsed{};
  clock_gettime(Clock, &Elapsed);
  return static_cast<time_ms>(Elapsed.tv_sec) * 1'000 +
         Elapsed.tv_nsec / 1'000'000;
}

Poco::Net::Context::Ptr makeContext(Poco::Net::Context::Usage Usage,
                                    const tls_files &Files) {
  Poco::Net::Context::Params Params;
  Params.privateKeyFile = Files.KeyFile;
  Params.certificateFile = Files.CertificateFile;
  Params.caLocation = Files.CaFile;
  Params.verificationMode = Poco::Net::Context::VERIFY_STRICT;
  // Callers authenticate by bearer key instead of a client certificate.
  if (Usage == Poco::Net::Context::TLS_SERVER_USE)
    Params.verificationMode = Poco::Net::Context::VERIFY_NONE;
  return new Poco::Net::Context(Usage, Params);
}

} // namespace

time_ms system_clock::now() const {
  return readMilliseconds<std::chrono::system_clock>();
}

time_ms system_clock::monotonic() const {
  return readMilliseconds<std::chrono::steady_clock>();
}

time_ms system_clock::sinceBoot() const {
  return readMilliseconds(CLOCK_BOOTTIME);
}

time_ms processorTime() { return readMilliseconds(CLOCK_PROCESS_CPUTIME_ID); }

std::string readBootId() {
  std::ifstream In("/proc/sys/kernel/random/boot_id");
  std::string Id;
  std::getline(In, Id);
  return Id;
}

system_random::system_random() {
  std::random_device Device;
  std::seed_seq Seeds{Device(), Device(), Device(), Device()};
  Engine.seed(Seeds);
}

std::uint64_t system_random::next() {
  const std::lock_guard Guard(Lock);
  return Engine();
}

Poco::Net::Context::Ptr makeServerContext(const tls_files &Files) {
  return makeContext(Poco::Net::Context::TLS_SERVER_USE, Files);
}

Poco::Net::Context::Ptr makeClientContext(const tls_files &Files) {
  return makeContext(Poco::Net::Context::TLS_CLIENT_USE, Files);
}

} // namespace tamarack::adapters
