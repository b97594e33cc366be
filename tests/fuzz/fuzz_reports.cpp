// Fuzzes what instances read of each other in the store: grants, watermarks,
// reports on crashes and on limits, streams. Any bytes must be rejected, or
// decode to a value that survives encoding and can be applied.
#include "tamarack/grants.hpp"
#include "tamarack/limits.hpp"
#include "tamarack/quarantine.hpp"
#include "tamarack/streams.hpp"

#include <cmath>
#include <cstdlib>

using namespace tamarack;

namespace {

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

void applyHolder(std::string_view Bytes) {
  const std::optional<grants::holder_record> Record =
      grants::decodeHolder(Bytes);
  if (!Record)
    return;
  const std::optional<grants::holder_record> Again =
      grants::decodeHolder(grants::encode(*Record));
  require(Again && grants::encode(*Again) == grants::encode(*Record));
  grants::holder_table Table("own");
  for (const char *Instance : {"a", "b", "c"}) {
    Table.store(Instance, *Record);
    Table.storeLost(Instance, *Record);
  }
  for (const grants::account_line &Line : Record->Lines)
    require(Table.totalsOfOthers(Line.Account).Ceiling >= Line.Ceiling);
}

void applyWatermark(std::string_view Bytes) {
  const std::optional<grants::watermark_record> Record =
      grants::decodeWatermark(Bytes);
  if (Record)
    require(grants::decodeWatermark(grants::encode(*Record)).has_value());
}

void applyCrashReport(std::string_view Bytes) {
  const std::optional<quarantine::crash_report> Report =
      quarantine::decodeReport(Bytes);
  if (!Report)
    return;
  require(quarantine::decodeReport(quarantine::encode(*Report)) == Report);
  quarantine::crash_quarantine Quarantine("own");
  for (const char *Reporter : {"a", "b"})
    Quarantine.onReport(Reporter, *Report, 1'000);
  Quarantine.quarantinedCauses();
}

class silent_listener final : public limits::limiter_listener {
  void onLimitChanged(std::string_view, const limits::known_limit &,
                      std::string_view) override {}
  void onLimitUnreadable(std::string_view, std::string_view) override {}
  void onShareChanged(std::string_view, double SharePerSecond, double,
                      int) override {
    require(std::isfinite(SharePerSecond) && SharePerSecond >= 0);
  }
  void onEndpointCold(std::string_view, time_ms, double SharePerSecond, double,
                      std::size_t) override {
    require(std::isfinite(SharePerSecond) && SharePerSecond >= 0);
  }
  void onEndpointWarm(std::string_view, std::size_t) override {}
  void onCallRefused(const relay::call &, int) override {}
};

void applyLimitReport(std::string_view Bytes) {
  const std::optional<limits::limit_report> Report =
      limits::decodeReport(Bytes);
  if (!Report)
    return;
  require(limits::decodeReport(limits::encode(*Report)) == Report);
  silent_listener Listener;
  limits::endpoint_limiter Limiter("own", Listener);
  std::vector<dispatch::endpoint_entry> Entries;
  for (const limits::stated_limit &Limit : Report->Limits) {
    dispatch::endpoint_entry &Entry = Entries.emplace_back();
    Entry.Id = Limit.Endpoint;
    Entry.Service = "service";
    Entry.StartedAt = Limit.StartedAt;
  }
  Limiter.setEndpoints(Entries, 0);
  Limiter.onReport("a", *Report, true, 0);
  const std::vector<std::string> Names = {"a", "b"};
  Limiter.setInstances(Names, 0);
  for (time_ms Now = 0; Now < 10'000; Now += 1'000) {
    Limiter.onCaughtUp(Now);
    Limiter.mayGetRequest("endpoint", Now);
    Limiter.retryAfterMs("service", Now);
  }
}

void applyStreams(std::string_view Bytes) {
  const std::optional<std::vector<streams::origin>> Origins =
      streams::decodeOrigins(Bytes);
  if (!Origins)
    return;
  const std::optional<std::vector<streams::origin>> Again =
      streams::decodeOrigins(streams::encode(*Origins));
  require(Again && Again->size() == Origins->size());
  const streams::register_settings Settings;
  streams::origin_register Register(Settings);
  for (const streams::origin &Origin : *Origins)
    Register.add(Origin.Key, "a", Origin.Software, -Origin.AgeMs);
  require(Register.size() <= Settings.MaxStreams);
  Register.removeExpired(Settings.KeepMs);
  require(Register.size() == 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  applyHolder(Bytes);
  applyWatermark(Bytes);
  applyCrashReport(Bytes);
  applyLimitReport(Bytes);
  applyStreams(Bytes);
  return 0;
}
