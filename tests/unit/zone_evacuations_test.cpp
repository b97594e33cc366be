// Which availability zones are evacuated, by the records of operators.
#include "tamarack/follow.hpp"
#include "tamarack/platform.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::follow;

namespace {

using names = std::vector<std::string>;

// Zones that have changed, those that are evacuated from now on with "+".
names changesOf(zone_evacuations &Evacuations, time_ms Now) {
  names Changes;
  for (const zone_change &Change : Evacuations.update(Now))
    Changes.push_back((Change.IsEvacuated ? "+" : "-") + Change.Zone);
  return Changes;
}

void readSnapshot(zone_evacuations &Evacuations, const names &Zones,
                  std::uint64_t FirstOffset, std::uint64_t NextOffset,
                  time_ms Now) {
  Evacuations.beginSnapshot();
  for (const std::string &Zone : Zones)
    Evacuations.onRecord(Zone, FirstOffset++, Now);
  Evacuations.endSnapshot(NextOffset, Now);
}

} // namespace

// Guards against an evacuation that is missed, or never ends.
TEST_CASE("a zone is evacuated while its record exists", "[evacuation]") {
  zone_evacuations Evacuations;
  CHECK_FALSE(Evacuations.isKnown());
  readSnapshot(Evacuations, {"a"}, 3, 5, 100);
  CHECK(Evacuations.isKnown());
  CHECK(changesOf(Evacuations, 100) == names{"+a"});
  CHECK(changesOf(Evacuations, 200).empty());
  Evacuations.onRecord("b", 5, 300);
  CHECK(changesOf(Evacuations, 300) == names{"+b"});
  CHECK(Evacuations.zones() == names{"a", "b"});
  SECTION("the record is removed") {
    Evacuations.onRemoved("a", 6);
    CHECK(changesOf(Evacuations, 400) == names{"-a"});
  }
  SECTION("it is missing from a later snapshot") {
    readSnapshot(Evacuations, {"b"}, 5, 9, 400);
    CHECK(changesOf(Evacuations, 400) == names{"-a"});
  }
  SECTION("it is missing from a snapshot that was not read to its end") {
    Evacuations.beginSnapshot();
    Evacuations.onRecord("c", 8, 400);
    Evacuations.abortSnapshot();
    CHECK(changesOf(Evacuations, 400) == names{"+c"});
    readSnapshot(Evacuations, {"a", "b", "c"}, 6, 9, 500);
    CHECK(changesOf(Evacuations, 500).empty());
  }
  SECTION("it is written again, and removed once") {
    Evacuations.onRecord("a", 6, 400);
    CHECK(changesOf(Evacuations, 400).empty());
    Evacuations.onRemoved("a", 7);
    CHECK(changesOf(Evacuations, 400) == names{"-a"});
  }
  SECTION("it is removed and written again at once") {
    Evacuations.onRemoved("a", 6);
    Evacuations.onRecord("a", 7, 400);
    CHECK(changesOf(Evacuations, 400).empty());
    CHECK(Evacuations.zones() == names{"a", "b"});
  }
}

// Guards against pages that another instance has read earlier and shared: they
// would end an evacuation that they don't know yet, or bring back one that has
// ended, and the records are not read again.
TEST_CASE("an older page changes nothing", "[evacuation]") {
  zone_evacuations Evacuations;
  readSnapshot(Evacuations, {"a"}, 3, 5, 100);
  Evacuations.onRemoved("a", 7);
  Evacuations.onRecord("b", 8, 200);
  changesOf(Evacuations, 200);
  SECTION("a snapshot") { readSnapshot(Evacuations, {"a"}, 3, 5, 300); }
  SECTION("records") {
    Evacuations.onRecord("a", 3, 300);
    Evacuations.onRemoved("b", 4);
  }
  CHECK(changesOf(Evacuations, 300).empty());
  CHECK(Evacuations.zones() == names{"b"});
}

// Guards against a store that comes back from a copy without a record: the zone
// would get requests until operators have written the record again.
TEST_CASE("a zone that a copy of the store lacks stays evacuated for a while",
          "[evacuation]") {
  constexpr time_ms BackAt = 10'000;
  zone_evacuations Evacuations;
  readSnapshot(Evacuations, {"a"}, 13, 15, 100);
  changesOf(Evacuations, 100);
  Evacuations.onEraChanged(BackAt);
  readSnapshot(Evacuations, {}, 0, 5, BackAt);
  CHECK(changesOf(Evacuations, BackAt).empty());
  SECTION("it is not written again") {
    const time_ms EndAt = BackAt + zone_evacuations::RewriteMs;
    CHECK(changesOf(Evacuations, EndAt - 1).empty());
    CHECK(changesOf(Evacuations, EndAt) == names{"-a"});
  }
  SECTION("it is written again under a lower offset") {
    Evacuations.onRecord("a", 5, BackAt + 1'000);
    CHECK(changesOf(Evacuations, 2 * BackAt).empty());
    Evacuations.onRemoved("a", 6);
    CHECK(changesOf(Evacuations, 2 * BackAt) == names{"-a"});
  }
  SECTION("its removal is written again") {
    Evacuations.onRemoved("a", 5);
    CHECK(changesOf(Evacuations, BackAt + 1'000) == names{"-a"});
  }
}

// Guards against a writer that fills the memory of each instance.
TEST_CASE("the number of evacuated zones is bounded", "[evacuation]") {
  zone_evacuations Evacuations;
  for (std::size_t I = 0; I < zone_evacuations::MaxZones; ++I)
    REQUIRE(Evacuations.onRecord("z" + std::to_string(I), I, 0));
  CHECK_FALSE(Evacuations.onRecord("one more", 5'000, 0));
  CHECK(Evacuations.onRecord("z7", 5'001, 0));
  CHECK(changesOf(Evacuations, 0).size() == zone_evacuations::MaxZones);
  Evacuations.onRemoved("z7", 5'002);
  CHECK(Evacuations.onRecord("one more", 5'003, 0));
}

// Guards against keys of any form among those that name a zone.
TEST_CASE("the key of a record names the evacuated zone", "[evacuation]") {
  using platform::decodeEvacuatedZone;
  CHECK(decodeEvacuatedZone("evacuate/zone-a") == "zone-a");
  CHECK(decodeEvacuatedZone("evacuate/a/b") == "a/b");
  for (const char *Key : {"config", "", "evacuate", "evacuated/a", "/a"})
    CHECK_FALSE(decodeEvacuatedZone(Key).has_value());
  for (const std::string &Zone :
       {std::string(), std::string("a\nb"), std::string(1, '\0'),
        std::string(" a"), std::string(300, 'a')})
    CHECK_THROWS_AS(decodeEvacuatedZone("evacuate/" + Zone),
                    platform::document_error);
}
