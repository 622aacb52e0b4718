// connection_limits: thresholds of the descriptors, the connection that is closed for a new one, and
// deadlines.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/connection_limits.h"

#include <algorithm>

using namespace myrtlehead::connection_limits;

constexpr Nanoseconds kMillisecond = 1'000'000;

TEST_CASE("a shortage ends only when more descriptors are free than at its start") {
  CHECK(hasReserve({26, 100}));
  CHECK(!hasReserve({25, 100}));
  CHECK(!isShort(false, {26, 100}));
  CHECK(isShort(false, {25, 100}));
  CHECK(isShort(true, {33, 100}));
  CHECK(!isShort(true, {34, 100}));
}

TEST_CASE("a few descriptors are left over with which a client can't even be rejected") {
  CHECK(mayAccept({9, 100}));
  CHECK(!mayAccept({8, 100}));
  CHECK(!mayAccept({-1, 100}));
  CHECK(!hasReserve({9, 100})); // a connection that is accepted now is rejected
}

TEST_CASE("there are many clients if not all of them can have requests in flight") {
  CHECK(requestCapacity(99) == 33);
  CHECK(!hasManyClients(33, 99));
  CHECK(hasManyClients(34, 99));
}

// The protocol promises an idle connection two seconds; a client that has stopped inside a message has no
// such promise and is closed before an idle one that is younger.
TEST_CASE("clients that have stopped are closed before idle ones that have been idle for a short time") {
  const auto &order = reclaimOrder();
  const auto position = [&](ReclaimGroup group, Nanoseconds idleTime) {
    return std::ranges::find_if(
               order,
               [&](const ReclaimStep &step) { return step.group == group && step.minTime <= idleTime; }) -
           order.begin();
  };
  const auto last = static_cast<std::ptrdiff_t>(order.size());
  CHECK(position(ReclaimGroup::receiving, 250 * kMillisecond) <
        position(ReclaimGroup::idle, 1999 * kMillisecond));
  CHECK(position(ReclaimGroup::idle, 2000 * kMillisecond) <
        position(ReclaimGroup::receiving, 250 * kMillisecond));
  CHECK(position(ReclaimGroup::idle, 249 * kMillisecond) == last);
  CHECK(position(ReclaimGroup::receiving, 249 * kMillisecond) == last);
  CHECK(position(ReclaimGroup::closing, 99 * kMillisecond) == last);
  CHECK(position(ReclaimGroup::closing, 100 * kMillisecond) == 0);
}

// A bad client is owed its error or close within three seconds of its last byte.
TEST_CASE("the rest of a message is awaited for less than three seconds") {
  for (const auto use : {ConnectionUse::unused, ConnectionUse::used}) {
    CHECK(messageDeadline(use, 0, 0) < 3000 * kMillisecond);
    CHECK(maxIdleTime(use) >= 2000 * kMillisecond);
  }
  CHECK(messageDeadline(ConnectionUse::used, 0, 5000 * kMillisecond) > 5000 * kMillisecond);
  CHECK(finalMessageDeadline(7) < messageDeadline(ConnectionUse::used, 0, 7));
}
