// By when a front that was asked to end does what.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "decide/closing/closing.h"

using namespace myrtlehead::closing;

TEST_CASE("a front that was not asked to end begins every req") {
  Closing closing;
  CHECK(!closing.is());
  CHECK(closing.mayBegin(0));
  CHECK(closing.mayBegin(std::numeric_limits<Ns>::max() - 1));
}

TEST_CASE("an end goes in order: all is taken, then rests alone, then no req is begun") {
  Closing closing;
  const Ns asked = 1000 * kMs;
  closing.asked(asked);
  closing.asked(asked + 600 * kMs); // once more changes nothing
  CHECK(closing.is());
  CHECK(closing.closesAt() > asked + 400 * kMs); // new connections come for so long
  CHECK(closing.restBy() > closing.closesAt());
  CHECK(closing.mayBegin(closing.restBy()));
  CHECK(closing.mayBegin(asked + 699 * kMs));
  CHECK(!closing.mayBegin(asked + 700 * kMs)); // what comes later is not promised an answer
}
