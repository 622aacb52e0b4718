// GracefulShutdown: what is still accepted, read and started at which time after the shutdown has begun.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/graceful_shutdown.h"

using namespace myrtlehead::graceful_shutdown;

TEST_CASE("every request may be started while no shutdown is in progress") {
  GracefulShutdown shutdown;
  CHECK(!shutdown.isInProgress());
  CHECK(shutdown.mayStartRequest(0));
  CHECK(shutdown.mayStartRequest(std::numeric_limits<Nanoseconds>::max() - 1));
}

TEST_CASE("a shutdown stops accepting connections, then reading partial messages, then starting requests") {
  GracefulShutdown shutdown;
  const Nanoseconds startedAt = 1000 * kMillisecond;
  shutdown.begin(startedAt);
  shutdown.begin(startedAt + 600 * kMillisecond); // a second call changes nothing
  CHECK(shutdown.isInProgress());
  // The platform sends new connections for 400 ms after it has asked for the shutdown.
  CHECK(shutdown.acceptDeadline() > startedAt + 400 * kMillisecond);
  CHECK(shutdown.partialMessageDeadline() > shutdown.acceptDeadline());
  CHECK(shutdown.mayStartRequest(shutdown.partialMessageDeadline()));
  CHECK(shutdown.mayStartRequest(startedAt + 699 * kMillisecond));
  CHECK(!shutdown.mayStartRequest(startedAt + 700 * kMillisecond)); // an answer is not guaranteed any more
}
