// What instances tell each other of endpoints that fail, so that a large fleet, each of whose instances meets
// a endpoint once in several seconds, need not find it out a hundred times over. No I/O; time and chance are
// arguments. A note goes out only while there is something bad to tell, to a few others drawn by chance, so
// its cost does not grow with the square of the fleet.
#pragma once

#include "policy/due_actions.h"
#include "policy/random.h"
#include "policy/request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace myrtlehead::outlier_gossip {

// What one instance has seen of an endpoint since it last told: attempts that the endpoint failed, attempts
// that found or kept no way to it, and attempts completed.
struct Seen {
  std::uint16_t node = 0; // its mark, the same at every instance
  std::uint8_t failed = 0, lost = 0, completed = 0;
};

// A note as it travels: version, the teller's zone, then 5 bytes for each endpoint, big-endian.
struct Telling {
  std::uint16_t zone = 0;
  std::vector<Seen> nodes;
};
constexpr std::uint8_t kTellingVersion = 5;
constexpr std::size_t kMostNodes = 50; // 253 bytes in all
std::vector<std::uint8_t> pack(const Telling &telling);
std::optional<Telling> unpack(const std::uint8_t *bytes,
                              std::size_t n); // nullopt: no such note, or not whole

class OutlierGossip {
public:
  OutlierGossip(int ownIndex, int instanceCount, int zone)
      : ownIndex_(ownIndex), instanceCount_(instanceCount), zone_(zone) {}

  void finished(std::uint16_t node, Outcome outcome); // an own attempt
  std::vector<PeerMessage> due(Nanoseconds now, std::knuth_b &chance);
  // Others' word. What it makes of an endpoint is asked for with doubtedUntil().
  void heard(int from, const Telling &telling, Nanoseconds now, std::knuth_b &chance);
  Nanoseconds doubtedUntil(std::uint16_t node) const; // 0: nothing is held against it
  void forget(std::uint16_t node);                    // it has another life
  std::size_t size() const { return nodes_.size(); }

private:
  struct Held {
    double failed = 0, lost = 0, completed = 0; // as told, decaying
    Nanoseconds at = 0;
    int last = -1;     // who told something bad last
    bool more = false; // and whether another one did before
    int spells = 0;
    Nanoseconds until = 0;
  };
  bool room(std::uint16_t node) const;
  static void age(Held &held, Nanoseconds now);

  int ownIndex_, instanceCount_, zone_;
  Nanoseconds tellAt_ = 0;
  std::map<std::uint16_t, Seen> own_;
  std::map<std::uint16_t, Held> nodes_;
};

} // namespace myrtlehead::outlier_gossip
