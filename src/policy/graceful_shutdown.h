// How an instance's front ends, by the moment at which it was asked to. No I/O; time is an argument. The
// platform still sends new connections and requests for 0.4 s, and what arrives later than 0.7 s has no
// promise of an answer before the process is killed.
#pragma once

#include <cstdint>
#include <limits>

namespace myrtlehead::graceful_shutdown {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds kMillisecond = 1'000'000;

class GracefulShutdown {
public:
  void asked(Nanoseconds now) {
    if (!is()) at_ = now;
  }
  bool is() const { return at_ != kOpen; }
  // Until then all is taken as before; then the backlog, and what stands between requests is ended.
  Nanoseconds closesAt() const { return at_ + kStillOpen; }
  // A message of which a part has come by then is waited for until that time.
  Nanoseconds restBy() const { return at_ + kRestBy; }
  // Whether a request that has been read may be begun: one behind others on its connection may come up too
  // late to be answered, and is told that trying again is harmless.
  bool mayBegin(Nanoseconds now) const { return !is() || now < at_ + kBegunBy; }

private:
  static constexpr Nanoseconds kOpen = std::numeric_limits<Nanoseconds>::max();
  static constexpr Nanoseconds kStillOpen = 500 * kMillisecond, kRestBy = 650 * kMillisecond,
                               kBegunBy = 700 * kMillisecond;
  Nanoseconds at_ = kOpen;
};

} // namespace myrtlehead::graceful_shutdown
