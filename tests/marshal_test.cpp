// The facade before the decisions.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "helpers.h"

#include "marshal/marshal.h"

using namespace myrtlehead;

TEST_CASE("a try is only meant while list and news stand") {
  Loop loop;
  Marshal marshal(loop.sched, smallDeployment(), 7, loop.log);
  const auto list = [&](Mode mode, int build) {
    marshal.listed({{"s-1", "127.0.0.1:9", {.build = build, .mode = mode}}}, false);
  };
  marshal.news({1, 2, Phase::released, 1, 0});
  list(Mode::ready, 1);
  auto body = [&]() -> sched::Task<> {
    sched::Stop stop;
    const auto picked = [&](Call &call) -> sched::Task<> {
      const auto choice = co_await marshal.pick(call, stop);
      REQUIRE(choice.what == Choice::send);
      REQUIRE(choice.target->name == "s-1");
      REQUIRE(choice.until > loop.sched.now());
    };
    Call drained(0, 0, kSec, false, loop.sched.now()), replaced(0, 0, kSec, false, loop.sched.now());
    Call back(0, 0, kSec, false, loop.sched.now());
    co_await picked(drained);
    list(Mode::ready, 1);
    REQUIRE(marshal.stillMeant(drained)); // listed again as it was
    list(Mode::draining, 1);
    REQUIRE(!marshal.stillMeant(drained));
    list(Mode::ready, 1);
    co_await picked(replaced);
    list(Mode::ready, 2);
    REQUIRE(!marshal.stillMeant(replaced));
    marshal.news({2, 2, Phase::released, 1, 0});
    co_await picked(back);
    marshal.news({2, 2, Phase::goingBack, 0.5, 0});
    REQUIRE(!marshal.stillMeant(back));
    REQUIRE(marshal.report(drained, Outcome::completed).what == Choice::nothing);
  };
  loop.run(body());
}

// A report that came with a try at a node's former life says nothing of its new one; and names that come and
// go for good take up no more places.
TEST_CASE("a former life is forgotten") {
  Loop loop;
  auto d = smallDeployment();
  d.loadFields = {LoadField::waiting};
  Marshal marshal(loop.sched, d, 7, loop.log);
  marshal.news({1, 2, Phase::released, 1, 0});
  const auto list = [&](const std::string &name, int build) {
    marshal.listed({{name, "127.0.0.1:9", {.build = build}}}, true);
    return marshal.find(name);
  };
  const auto *first = list("s-1", 1);
  auto body = [&]() -> sched::Task<> {
    sched::Stop stop;
    Call call(0, 0, kSec, false, loop.sched.now());
    const auto result = co_await marshal.pick(call, stop);
    REQUIRE(result.what == Choice::send);
    marshal.load(call, {7});
    REQUIRE(first->node->reported == 7);
    list("s-1", 2);
    list("s-1", 1);
    marshal.load(call, {9});
    REQUIRE(first->node->reported == 0);
    list("s-2", 1);
    REQUIRE(marshal.find("s-1") == first); // it may come back soon
    marshal.report(call, Outcome::reset);
    marshal.find("s-1")->namedAt -= 200 * kSec;
    REQUIRE(list("s-3", 1) == first);
    REQUIRE(marshal.find("s-1") == nullptr);
    REQUIRE(first->node->strikes == 0);
  };
  loop.run(body());
}

TEST_CASE("a held req goes out once a node is listed") {
  Loop loop;
  Marshal marshal(loop.sched, smallDeployment(), 7, loop.log);
  marshal.news({1, 2, Phase::released, 1, 0});
  auto list = [&]() -> sched::Task<> {
    co_await loop.sched.sleep(50 * kMs);
    marshal.listed({{"s-1", "127.0.0.1:9", {.build = 1}}}, true);
  };
  auto body = [&]() -> sched::Task<> {
    sched::Stop stop, left;
    loop.sched.spawn(list());
    Call call(0, 0, kSec, false, loop.sched.now()), none(0, 0, kSec, false, loop.sched.now());
    left.request();
    const auto result = co_await marshal.pick(none, left);
    REQUIRE(result.what == Choice::nothing); // its client has gone
    const auto result2 = co_await marshal.pick(call, stop);
    REQUIRE(result2.what == Choice::send);
  };
  loop.run(body());
}

// Names and list make one set: a server that both have keeps its life when the name that leads changes, and a
// drain by the list stops it at once, whatever names say.
TEST_CASE("names and list make one set") {
  Loop loop;
  Marshal marshal(loop.sched, smallDeployment(), 7, loop.log);
  sources::Sources sources({}, 3600 * kSec, 0, subset::Subset(1, 0, 0));
  sources.follow("_pg._tcp.maps.example", 1, -1);
  marshal.follow(sources);
  const auto now = loop.sched.now();
  sources.named(0, sources::Word::records, {{"s-1.maps.example", 6432, 0, 1}}, now + 60 * kSec, now);
  sources.resolved("s-1.maps.example", sources::Word::records, {"127.0.0.1"});
  marshal.namesChanged();
  auto *target = marshal.find("s-1.maps.example:6432");
  REQUIRE(target != nullptr);
  REQUIRE(target->listed);
  marshal.listed({{"n1", "127.0.0.1:6432", {.build = 1}}}, true);
  REQUIRE(marshal.find("n1") == target);
  REQUIRE(marshal.find("s-1.maps.example:6432") == nullptr);
  auto body = [&]() -> sched::Task<> {
    sched::Stop stop;
    Call call(0, 0, kSec, false, loop.sched.now());
    auto choice = co_await marshal.pick(call, stop);
    REQUIRE(choice.what == Choice::send);
    REQUIRE(choice.target == target);
    REQUIRE(marshal.stillMeant(call));
    marshal.listed({{"n1", "127.0.0.1:6432", {.build = 1, .mode = Mode::draining}}}, false);
    marshal.namesChanged();
    REQUIRE(!marshal.stillMeant(call));
    REQUIRE(!target->listed);
    choice = marshal.report(call, Outcome::notSent);
    REQUIRE(choice.what != Choice::send);
  };
  loop.run(body());
}
