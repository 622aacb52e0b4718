// Counts over the logs of a whole fleet.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "lab/tally.h"

#include <sstream>

using namespace myrtlehead::lab;

TEST_CASE("lines are taken by what they say") {
  std::int64_t at = 0;
  REQUIRE(kindOf("2026-12-01T22:47:14.858Z info guard: votes to promote build 759 at stage 1: CUSUM 0.1 of "
                 "11.6, 0 outcomes",
                 at) == "guard: votes to promote build # at stage #: CUSUM # of #, # outcomes");
  REQUIRE(at % 86400 == 22 * 3600 + 47 * 60 + 14);
  REQUIRE(kindOf("3.1 2026-12-01T00:00:01.0Z info catalog: watch on discovery ended cause=broken status=200",
                 at) == "catalog: watch on discovery ended");
  for (const char *line : {"", "hello", "2026-12-01 info guard: x", "terminate called after an exception"})
    REQUIRE(kindOf(line, at).empty());
}

TEST_CASE("the busiest second is over all marshals") {
  Tally tally;
  for (int i = 0; i < 5; ++i) {
    std::istringstream log("2026-12-01T00:00:01.1Z info guard: votes on build 2\n"
                           "2026-12-01T00:00:01.2Z info guard: votes on build 3\n"
                           "2026-12-01T00:00:0" +
                           std::to_string(2 + i) + ".2Z info guard: votes on build 4\nnot a line\n");
    tally.read(log);
  }
  const auto kinds = tally.kinds();
  REQUIRE(kinds.size() == 1);
  REQUIRE(tally.passedOver() == 5);
  const auto &k = kinds.at("guard: votes on build #");
  REQUIRE(k.lines == 15);
  REQUIRE(k.marshals == 5);
  REQUIRE(k.most == 10);
  REQUIRE(k.together == 5);
  REQUIRE(k.busiest % 60 == 1);
  REQUIRE(table(kinds).find("guard: votes on build #") != std::string::npos);
}
