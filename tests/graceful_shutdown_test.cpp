// GracefulShutdown: what is still done at which time after the shutdown has begun.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/graceful_shutdown.h"

using namespace myrtlehead::graceful_shutdown;

TEST_CASE("without a shutdown every request may be started") {
  GracefulShutdown shutdown;
  CHECK(!shutdown.isInProgress());
  CHECK(shutdown.mayStartRequest(0));
  CHECK(shutdown.mayStartRequest(std::numeric_limits<Nanoseconds>::max() - 1));
}

TEST_CASE("a shutdown stops accepting first, then reading, then starting requests") {
  GracefulShutdown shutdown;
  const Nanoseconds begun = 1000 * kMillisecond;
  shutdown.begin(begun);
  shutdown.begin(begun + 600 * kMillisecond); // a second call changes nothing
  CHECK(shutdown.isInProgress());
  CHECK(shutdown.acceptsUntil() > begun + 400 * kMillisecond); // new connections come for so long
  CHECK(shutdown.partialMessageDeadline() > shutdown.acceptsUntil());
  CHECK(shutdown.mayStartRequest(shutdown.partialMessageDeadline()));
  CHECK(shutdown.mayStartRequest(begun + 699 * kMillisecond));
  CHECK(!shutdown.mayStartRequest(begun + 700 * kMillisecond)); // later ones are not promised an answer
}
