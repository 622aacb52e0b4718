// How a marshal's front ends, by the moment at which it was asked to. No I/O; time is an argument. The
// platform still sends new connections and reqs for 0.4 s, and what arrives later than 0.7 s has no promise
// of an answer before the process is killed.
#pragma once

#include <cstdint>
#include <limits>

namespace myrtlehead::closing {

using Ns = std::int64_t;
constexpr Ns kMs = 1'000'000;

class Closing {
public:
  void asked(Ns now) {
    if (!is()) at_ = now;
  }
  bool is() const { return at_ != kOpen; }
  // Until then all is taken as before; then the backlog, and what stands between reqs is ended.
  Ns closesAt() const { return at_ + kStillOpen; }
  // A message of which a part has come by then is waited for until that time.
  Ns restBy() const { return at_ + kRestBy; }
  // Whether a req that has been read may be begun: one behind others on its connection may come up too late
  // to be answered, and is told that trying again is harmless.
  bool mayBegin(Ns now) const { return !is() || now < at_ + kBegunBy; }

private:
  static constexpr Ns kOpen = std::numeric_limits<Ns>::max();
  static constexpr Ns kStillOpen = 500 * kMs, kRestBy = 650 * kMs, kBegunBy = 700 * kMs;
  Ns at_ = kOpen;
};

} // namespace myrtlehead::closing
