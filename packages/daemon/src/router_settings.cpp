// Settings of a router instance.
#include "router_settings.hpp"

#include "tamarack/edge.hpp"

#include "split_list.hpp"

#include <sys/resource.h>

namespace tamarack::daemon {

namespace {

constexpr double MsPerSecond = 1'000;
constexpr double BytesPerMb = 1'048'576;
constexpr double BytesPerMbit = 125'000;
// Names are parts of keys in the store, which take 255 bytes.
constexpr std::size_t MaxInstanceBytes = 200;

constexpr const char *AddressSettings[] = {"front-address", "ready-address",
                                           "peer-address",  "metrics-address",
                                           "store-address", "forward-address"};

// False if Item is not ZONE=REGION.
bool addZoneRegion(const std::string &Item, dispatch::zone_regions &Regions) {
  const std::size_t Equals = Item.find('=');
  if (Equals == std::string::npos || Equals == 0 || Equals + 1 == Item.size())
    return false;
  Regions.insert_or_assign(Item.substr(0, Equals), Item.substr(Equals + 1));
  return true;
}

void declareSettings(adapters::program_settings &Set) {
  Set.addSettingsFile("settings-file", "file of lines NAME = VALUE");
  Set.addText("instance", nullptr, "unique name of this instance");
  Set.addText("zone", nullptr, "availability zone of this instance");
  Set.addText("zone-regions", "",
              "ZONE=REGION of each zone, separated by commas");
  Set.addText("front-address", nullptr, "IP:PORT to serve callers on");
  Set.addText("ready-address", nullptr,
              "IP:PORT to serve the readiness check on");
  Set.addText("peer-address", nullptr, "IP:PORT for other instances");
  Set.addText(
      "forward-address", "",
      "IP:PORT for calls that other instances forward; empty to neither "
      "take nor forward any");
  Set.addText("peers", "", "IP:PORT of other instances, separated by commas");
  Set.addText("metrics-address", nullptr, "IP:PORT to serve metrics on");
  Set.addText("store-address", nullptr, "IP:PORT of the platform's store");
  Set.addDecimal("repeat-ratio", "0.1", 0, 1,
                 "retries per request, in the whole fleet");
  Set.addDecimal("repeat-slack", "10", 0, 1e6,
                 "further retries per window, in the whole fleet");
  Set.addDecimal("repeat-window-s", "10", 0.1, 3600,
                 "window of --repeat-slack, s");
  Set.addDecimal("grace-s", "8", 1, 86400, "longest graceful shutdown, s");
  Set.addNumber("leave-notice-ms", "2000", 600, 3600000,
                "shortest time that an endpoint serves after it is listed as "
                "leaving, ms");
  Set.addDecimal("memory-mb", "110", 32, 1e6,
                 "memory that this process may use, MB");
  Set.addNumber("max-fds", "0", 0, 10000000,
                "descriptors that this process may open, 0 for the limit of "
                "the system");
  Set.addDecimal("link-mbps", "0", 0, 1e6,
                 "rate of this machine's link in each direction, Mbit/s; 0 if "
                 "it is not known");
  Set.addDecimal("slow-request-bytes-per-s", "16384", 0, 1e9,
                 "requests that arrive slower are refused first when the "
                 "memory is full, bytes/s");
  Set.addFlag("even-load",
              "let load reports lose weight with age, and tell other instances "
              "of the zone of load");
  Set.addNumber("log-lines", "200", 1, 1000000,
                "most log lines per event and second");
}

// The smaller one of what is stated, unless that is 0, and the limit of the
// system.
std::size_t maxDescriptors(std::int64_t Stated) {
  rlimit Limit{};
  const bool IsKnown = ::getrlimit(RLIMIT_NOFILE, &Limit) == 0;
  const std::size_t Most = IsKnown ? static_cast<std::size_t>(Limit.rlim_cur)
                                   : router_settings().MaxDescriptors;
  return Stated > 0 ? std::min(Most, static_cast<std::size_t>(Stated)) : Most;
}

class router_settings_check final : public adapters::settings_check {
public:
  void check(const adapters::program_settings &Set,
             std::vector<std::string> &Errors) const override {
    checkInstance(Set.getText("instance"), Errors);
    for (const char *Name : AddressSettings)
      if (!Set.getText(Name).empty())
        checkAddress(Name, Set.getText(Name), Errors);
    dispatch::zone_regions Regions;
    for (const std::string &Item : splitList(Set.getText("zone-regions")))
      if (!addZoneRegion(Item, Regions))
        Errors.push_back("--zone-regions takes items ZONE=REGION");
    for (const std::string &Peer : splitList(Set.getText("peers")))
      checkAddress("peers", Peer, Errors);
  }

private:
  // A slash separates the kind of a record from the name in its key.
  static void checkInstance(const std::string &Name,
                            std::vector<std::string> &Errors) {
    if (Name.empty() || Name.size() > MaxInstanceBytes ||
        Name.find('/') != std::string::npos)
      Errors.push_back("--instance takes 1 to " +
                       std::to_string(MaxInstanceBytes) +
                       " bytes without \"/\"");
  }

  static void checkAddress(const std::string &Name, const std::string &Value,
                           std::vector<std::string> &Errors) {
    try {
      edge::parseAddress(Value);
    } catch (const std::invalid_argument &Error) {
      Errors.push_back("--" + Name + ": " + Error.what());
    }
  }
};

} // namespace

bool readRouterSettings(int Count, const char *const *Arguments,
                        router_settings &Settings) {
  adapters::program_settings Set("tamarackd router",
                                 "router for prepaid token budgets");
  declareSettings(Set);
  const router_settings_check Check;
  if (!Set.read(Count, Arguments, &Check))
    return false;
  Settings.Instance = Set.getText("instance");
  Settings.Zone = Set.getText("zone");
  for (const std::string &Item : splitList(Set.getText("zone-regions")))
    addZoneRegion(Item, Settings.ZoneRegions);
  Settings.FrontendAddress = Set.getText("front-address");
  Settings.ReadyAddress = Set.getText("ready-address");
  Settings.PeerAddress = Set.getText("peer-address");
  Settings.ForwardAddress = Set.getText("forward-address");
  Settings.PeerAddresses = splitList(Set.getText("peers"));
  Settings.MetricsAddress = Set.getText("metrics-address");
  Settings.StoreAddress = Set.getText("store-address");
  Settings.IsEvenLoad = Set.getFlag("even-load");
  Settings.RetryLimits.RetriesPerRequest = Set.getDecimal("repeat-ratio");
  Settings.RetryLimits.ExtraPerWindow = Set.getDecimal("repeat-slack");
  Settings.RetryLimits.WindowMs =
      static_cast<int>(Set.getDecimal("repeat-window-s") * MsPerSecond);
  Settings.ShutdownGraceMs =
      static_cast<int>(Set.getDecimal("grace-s") * MsPerSecond);
  Settings.LeaveNoticeMs = static_cast<int>(Set.getNumber("leave-notice-ms"));
  Settings.MemoryLimitBytes =
      static_cast<std::size_t>(Set.getDecimal("memory-mb") * BytesPerMb);
  Settings.MaxDescriptors = maxDescriptors(Set.getNumber("max-fds"));
  Settings.LinkBytesPerS = Set.getDecimal("link-mbps") * BytesPerMbit;
  Settings.SlowRequestBytesPerS = Set.getDecimal("slow-request-bytes-per-s");
  Settings.MaxLogLinesPerSecond = static_cast<int>(Set.getNumber("log-lines"));
  return true;
}

} // namespace tamarack::daemon
