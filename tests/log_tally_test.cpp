// Tests the counts of log lines by kind over a whole fleet.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "lab/log_tally.h"

#include <sstream>

using namespace myrtlehead::lab;

TEST_CASE("the kind of a line is its package and message without numbers and fields") {
  const auto line = parseLogLine("2026-12-01T22:47:14.858Z info guard: votes to promote build 759 at stage "
                                 "1: CUSUM 0.1, threshold 11.6, 0 outcomes");
  REQUIRE(line);
  REQUIRE(line->kind == "guard: votes to promote build # at stage #: CUSUM #, threshold #, # outcomes");
  REQUIRE(line->time % 86400 == 22 * 3600 + 47 * 60 + 14);
  const auto collected = parseLogLine(
      "3.1 2026-12-01T00:00:01.0Z info catalog: watch on discovery ended cause=broken status=200");
  REQUIRE(collected);
  REQUIRE(collected->kind == "catalog: watch on discovery ended");
}

TEST_CASE("text that is not a log line is not parsed") {
  for (const char *text : {"", "hello", "2026-12-01 info guard: x", "terminate called after an exception"})
    REQUIRE(!parseLogLine(text));
}

TEST_CASE("the busiest second is counted over all instances") {
  LogTally tally;
  for (int i = 0; i < 5; ++i) {
    std::istringstream log("2026-12-01T00:00:01.1Z info guard: votes on build 2\n"
                           "2026-12-01T00:00:01.2Z info guard: votes on build 3\n"
                           "2026-12-01T00:00:0" +
                           std::to_string(2 + i) + ".2Z info guard: votes on build 4\nnot a line\n");
    tally.add(log);
  }
  const auto kinds = tally.kinds();
  REQUIRE(kinds.size() == 1);
  REQUIRE(tally.skippedLines() == 5);
  const auto &count = kinds.at("guard: votes on build #");
  REQUIRE(count.lines == 15);
  REQUIRE(count.instances == 5);
  REQUIRE(count.linesInBusiest == 10);
  REQUIRE(count.instancesInBusiest == 5);
  REQUIRE(count.busiestSecond % 60 == 1);
  REQUIRE(formatTable(kinds).find("guard: votes on build #") != std::string::npos);
}
