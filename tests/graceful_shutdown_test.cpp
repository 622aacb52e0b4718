// By when a front that was asked to end does what.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/graceful_shutdown.h"

using namespace myrtlehead::graceful_shutdown;

TEST_CASE("a front that was not asked to end begins every req") {
  GracefulShutdown closing;
  CHECK(!closing.is());
  CHECK(closing.mayBegin(0));
  CHECK(closing.mayBegin(std::numeric_limits<Nanoseconds>::max() - 1));
}

TEST_CASE("an end goes in order: all is taken, then rests alone, then no req is begun") {
  GracefulShutdown closing;
  const Nanoseconds asked = 1000 * kMillisecond;
  closing.asked(asked);
  closing.asked(asked + 600 * kMillisecond); // once more changes nothing
  CHECK(closing.is());
  CHECK(closing.closesAt() > asked + 400 * kMillisecond); // new connections come for so long
  CHECK(closing.restBy() > closing.closesAt());
  CHECK(closing.mayBegin(closing.restBy()));
  CHECK(closing.mayBegin(asked + 699 * kMillisecond));
  CHECK(!closing.mayBegin(asked + 700 * kMillisecond)); // what comes later is not promised an answer
}
