// Tests of the oracle that the drain tests are judged by: one case for each sentence of the pages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "lab/notification_oracle.h"

using namespace myrtlehead;
using lab::NotificationOracle;

TEST_CASE("a change counts as notified when it is written, and six seconds after it at the latest") {
  NotificationOracle oracle;
  const auto change = oracle.onChange(10 * kSecond);
  CHECK(oracle.notifiedAt(change) == 16 * kSecond);
  oracle.onWritten(12 * kSecond, true);
  CHECK(oracle.notifiedAt(change) == 12 * kSecond);
}

TEST_CASE("the six seconds begin once discovery can be reached") {
  NotificationOracle oracle;
  oracle.onReachable(false, 5 * kSecond);
  const auto change = oracle.onChange(10 * kSecond);
  CHECK(oracle.notifiedAt(change) == lab::kNeverNotified);
  oracle.onReachable(true, 11 * kSecond);
  CHECK(oracle.notifiedAt(change) == 17 * kSecond);
}

TEST_CASE("what a silent watch misses counts as notified six seconds after it fell silent") {
  NotificationOracle oracle;
  oracle.onWatchSilent(8 * kSecond);
  const auto missed = oracle.onChange(12 * kSecond);
  const auto later = oracle.onChange(15 * kSecond);
  CHECK(oracle.notifiedAt(missed) == 14 * kSecond);
  CHECK(oracle.notifiedAt(later) == 15 * kSecond);
  oracle.onWritten(20 * kSecond, true); // on a new watch
  const auto afterwards = oracle.onChange(21 * kSecond);
  CHECK(oracle.notifiedAt(afterwards) == 27 * kSecond);
}

TEST_CASE("four seconds after each reload signal every change counts, unless the new address wrote before") {
  NotificationOracle oracle;
  oracle.onReloadSignal(10 * kSecond);
  const auto missed = oracle.onChange(11 * kSecond);
  oracle.onReloadSignal(13 * kSecond);
  CHECK(oracle.notifiedAt(missed) == 14 * kSecond);
  oracle.onWritten(13500 * kMillisecond, true);
  CHECK(oracle.notifiedAt(missed) == 13500 * kMillisecond);
  const auto later = oracle.onChange(13600 * kMillisecond);
  CHECK(oracle.notifiedAt(later) == 19600 * kMillisecond);
}
