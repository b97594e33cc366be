// Calls that another instance places, because this one reaches no endpoint.
//
// Contents:
//   messages    forwarded_call, encode, decodeCall, decodeResult, decodeError
//   paths       path_monitor_listener, endpoint_paths, path_prober,
//               path_monitor
//   instances   forwarding_instance, instance_selector
//   placement   unplaced_reason, forwarding_gate
//
// An instance may lose its paths to all endpoints while callers, the store and
// the other instances still reach it. It then forwards each call to an instance
// that has a path. The instance that the caller has called keeps all that
// belongs to the call: it reserves and bills the tokens, looks up and records
// the origin of a stream, decides on retries and gives the final response. The
// other one chooses an endpoint by its own knowledge and sends the call there,
// at most once; it never forwards a call that was forwarded to it.
//
// Not thread-safe; times are in monotonic ms.
#pragma once

#include "tamarack/relay.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack::forwarding {

//---------------------------------------------------------------------------
// Messages
//---------------------------------------------------------------------------

// Header fields between instances. Their values are MessagePack tuples in
// hexadecimal digits.
inline constexpr char CallField[] = "Tamarack-Call";     // forwarded_call.
inline constexpr char ResultField[] = "Tamarack-Result"; // forwarded_result.
inline constexpr char ErrorField[] = "Tamarack-Error";   // placement_refusal.

// What the other instance can't know, or must not decide anew.
struct forwarded_call {
  std::string Instance; // That forwards the call.
  std::string Account;  // Empty for public routes.
  std::string Service;
  std::string RequiredVersion; // See relay::call.
};

std::string encode(const forwarded_call &Call);
std::string encode(const relay::forwarded_result &Result);
// An error response of the instance itself.
std::string encode(const relay::placement_refusal &Error);
// Empty if Text is not a valid message.
std::optional<forwarded_call> decodeCall(std::string_view Text);
std::optional<relay::forwarded_result> decodeResult(std::string_view Text);
std::optional<relay::placement_refusal> decodeError(std::string_view Text);

//---------------------------------------------------------------------------
// Paths
//---------------------------------------------------------------------------

// For logs.
class path_monitor_listener {
public:
  virtual ~path_monitor_listener() = default;
  virtual void onCutOff(std::string_view Service, std::size_t Unreached) = 0;
  virtual void onReached(std::string_view Service, time_ms CutOffMs) = 0;
};

struct endpoint_path {
  std::string Endpoint; // Id.
  std::string Address;  // host:port
};

// The endpoints that this instance knows.
class endpoint_paths {
public:
  virtual ~endpoint_paths() = default;
  // Those of Service that take new work.
  virtual std::vector<endpoint_path>
  pathsOf(std::string_view Service) const = 0;
};

// Finds out whether an address can be connected to.
class path_prober {
public:
  using handler = std::function<void(bool IsReached, time_ms Now)>;
  virtual ~path_prober() = default;
  // Calls Handler once, later.
  virtual void probe(std::string_view Address, handler Handler) = 0;
};

// Whether this instance reaches the endpoints of a service.
//
// It is cut off from a service once connections to several of its endpoints
// have failed, and nothing has arrived from any of them since the first one
// did. While it is cut off, a few endpoints are probed at a time; one that
// accepts a connection ends that state.
class path_monitor {
public:
  static constexpr std::size_t MinUnreached = 2; // Or all, if there are fewer.
  static constexpr int ProbeIntervalMs = 200;
  static constexpr std::size_t ProbesAtOnce = 2;
  // A failure that is older says nothing of the path.
  static constexpr int UnreachedForMs = 2'000;

  path_monitor(endpoint_paths &Paths, path_prober &Prober,
               random_source &Random, path_monitor_listener &Listener);

  void onUnreached(std::string_view Service, std::string_view Endpoint,
                   time_ms Now);
  void onReached(std::string_view Service, time_ms Now);
  bool isCutOff(std::string_view Service) const;
  // For how long, 0 if it is not cut off.
  time_ms cutOffMs(std::string_view Service, time_ms Now) const;
  // Endpoints among Tried that could not be connected to lately.
  std::size_t unreachedAmong(std::string_view Service,
                             const std::set<std::string> &Tried,
                             time_ms Now) const;
  // Starts the probes that are due. Called at least every 100 ms.
  void tick(time_ms Now);

private:
  struct service_state {
    // Endpoints that could not be connected to, and when.
    std::map<std::string, time_ms, std::less<>> Unreached;
    time_ms CutOffAt = -1; // -1 if not.
    time_ms NextProbeAt = 0;
  };

  void startProbes(const std::string &Service, service_state &State,
                   time_ms Now);

  endpoint_paths &Paths;
  path_prober &Prober;
  random_source &Random;
  path_monitor_listener &Listener;
  std::map<std::string, service_state, std::less<>> Services;
};

//---------------------------------------------------------------------------
// Instances
//---------------------------------------------------------------------------

// Another instance that calls can be forwarded to.
struct forwarding_instance {
  std::string Name;
  std::string Zone;
  std::string Address; // host:port for forwarded calls.
};

// Chooses the instance for a call: one with few calls of this instance, of its
// own zone if there is one, and none that has lately been out of reach or had
// nothing for the service.
class instance_selector {
public:
  static constexpr int UnreachedAvoidMs = 1'000; // Out of reach.
  static constexpr int MaxAvoidMs = 8'000;       // The same, again and again.
  static constexpr int NoPathAvoidMs = 500; // It took no call of the service.
  // Calls in flight that weigh as much as another zone.
  static constexpr int OtherZoneCalls = 8;

  instance_selector(std::string Zone, random_source &Random)
      : Zone(std::move(Zone)), Random(Random) {}

  // Replaces the complete list.
  void setInstances(std::span<const forwarding_instance> Instances);
  // Nullptr if there is none outside Tried.
  const forwarding_instance *choose(std::string_view Service,
                                    const std::set<std::string> &Tried,
                                    time_ms Now);
  void onSent(std::string_view Name);
  // Withdrawn: the instance took no call of the service.
  void onEnded(std::string_view Name, std::string_view Service,
               relay::attempt_outcome Outcome, time_ms Now);

private:
  struct instance_state {
    forwarding_instance Instance;
    bool IsListed = true;
    int InFlight = 0;
    int UnreachedInRow = 0;
    time_ms AvoidUntil = 0;
    std::map<std::string, time_ms, std::less<>> NoPathUntil; // By service.
  };

  bool isAvoided(const instance_state &State, std::string_view Service,
                 time_ms Now) const;

  std::string Zone;
  random_source &Random;
  std::map<std::string, instance_state, std::less<>> Instances; // By name.
};

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

// What is known of why no endpoint can get a call.
class unplaced_reason {
public:
  virtual ~unplaced_reason() = default;
  // True if the call could be placed, were some endpoints not out of reach.
  virtual bool isOutOfReach(const relay::call &Call, time_ms Now) const = 0;
};

// Decorates a placement: offers another instance for a call if this one does
// not reach the endpoints that could get it. Calls that were forwarded here are
// refused instead, also while this instance has too much to do.
class forwarding_gate final : public relay::placement_decorator {
public:
  // Delay of the event loop at which an instance takes no calls of others, and
  // for how long.
  static constexpr int MaxLoopDelayMs = 150;
  static constexpr int BusyForMs = 500;
  // After this many endpoints that one call did not reach, it is forwarded.
  static constexpr std::size_t MaxUnreachedByCall = 2;
  // A call that is bound to a version is forwarded only after so long a cut.
  // What looks like one may be endpoints that start again in another version,
  // and other instances learn of that only then.
  static constexpr int MinCutForBoundMs = 2'000;

  forwarding_gate(relay::placement &Inner, path_monitor &Paths,
                  instance_selector &Instances, const unplaced_reason &Reason)
      : placement_decorator(Inner), Paths(Paths), Instances(Instances),
        Reason(Reason) {}

  // Whether calls that came here are forwarded, and whether forwarded ones are
  // taken.
  void setForwarding(bool To) { IsForwarding = To; }
  void setTaking(bool To) { IsTaking = To; }
  void setMaxForwardedCalls(int To) { MaxForwardedCalls = To; }
  // Calls of other instances that this one serves.
  void setForwardedCalls(int To) { ForwardedCalls = To; }
  void onLoopDelay(time_ms DelayMs, time_ms Now);

  std::optional<relay::placement_refusal> admit(const relay::call &Call,
                                                time_ms Now) override;
  relay::list_state listState(const relay::call &Call,
                              time_ms Now) const override;
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  bool mayStillSend(const relay::call &Call,
                    const relay::endpoint_choice &Target, time_ms ConnectedAt,
                    time_ms Now) const override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome Outcome, time_ms Now) override;

private:
  bool mayForward(const relay::call &Call, time_ms Now) const;
  std::optional<relay::endpoint_choice>
  chooseInstance(const relay::call &Call, const std::set<std::string> &Tried,
                 time_ms Now);

  path_monitor &Paths;
  instance_selector &Instances;
  const unplaced_reason &Reason;
  bool IsForwarding = false;
  bool IsTaking = false;
  int MaxForwardedCalls = 0;
  int ForwardedCalls = 0;
  time_ms BusyUntil = 0;
};

} // namespace tamarack::forwarding
