// Loss retention: when an answer suddenly leaves out most targets of a record set, the targets are retained
// until further answers confirm the loss or a time limit passes. A faulty DNS server or a half-written zone
// would otherwise take most endpoints out of service at once.
#pragma once

#include "policy/earliest_after.h"
#include "policy/endpoint_merge_types.h"

#include <cstddef>

namespace myrtlehead::endpoint_merge {

struct LossRetentionSettings {
  Nanoseconds retentionTime = 30 * kSecond;       // a sudden loss is retained at most this long
  Nanoseconds confirmationInterval = 2 * kSecond; // between look-ups while a loss is retained
  int confirmations = 3;                          // answers in a row, the first included, that confirm a loss
  bool operator==(const LossRetentionSettings &) const = default;
};

// The retained loss of one record set, if there is one. Times are the instance's, in nanoseconds.
class LossRetention {
public:
  // Whether an answer that leaves out `missing` of `previous` targets is a sudden loss, and not an ordinary
  // change.
  static bool isSudden(DnsRecordsResult result, std::size_t previous, std::size_t missing);

  // Counts an answer that shows the loss. True: the loss is confirmed, by this answer or by time.
  bool confirm(const LossRetentionSettings &settings, DnsRecordsResult result, Nanoseconds now);
  bool isExpired(const LossRetentionSettings &settings, Nanoseconds now) const;
  void reset();
  // Adds the time at which the retained loss expires.
  void addNextChange(const LossRetentionSettings &settings, EarliestAfter &next) const;

private:
  Nanoseconds since_ = 0; // 0: no loss is retained
  int answers_ = 0;       // in a row that show the loss
};

} // namespace myrtlehead::endpoint_merge
