// Loss retention: if an answer suddenly omits most targets of a record set, the targets are retained until
// further answers confirm the loss or a time limit passes. Otherwise a faulty DNS server or a partly written
// zone would take most endpoints out of service at once.
#pragma once

#include "policy/earliest_after.h"
#include "policy/endpoint_merge_types.h"

#include <cstddef>

namespace myrtlehead::endpoint_merge {

struct LossRetentionSettings {
  Nanoseconds retentionTime = 30 * kSecond;       // longest time for which missing targets are retained
  Nanoseconds confirmationInterval = 2 * kSecond; // time between look-ups while targets are retained
  int confirmations = 3; // consecutive answers, including the first one, that confirm a loss
  bool operator==(const LossRetentionSettings &) const = default;
};

// State of the retention for one record set. Times are those of the instance's clock, in nanoseconds.
class LossRetention {
public:
  // Returns whether an answer that omits `missing` of `previous` targets is a sudden loss, as opposed to an
  // ordinary change. An answer without records always is.
  static bool isSudden(DnsRecordsResult result, std::size_t previous, std::size_t missing);

  // Counts an answer that shows the loss. Returns true if enough answers have confirmed the loss or the
  // retention time has ended.
  bool confirm(const LossRetentionSettings &settings, DnsRecordsResult result, Nanoseconds now);
  bool isExpired(const LossRetentionSettings &settings, Nanoseconds now) const;
  void reset();
  // Adds the end of the retention time to `next`, if a loss is retained.
  void addNextChange(const LossRetentionSettings &settings, EarliestAfter &next) const;

private:
  Nanoseconds since_ = 0; // 0: no loss is retained
  int answers_ = 0;       // consecutive answers that show the loss
};

} // namespace myrtlehead::endpoint_merge
