// What marshals tell each other of nodes that fail, so that a large fleet, each of whose marshals meets a
// node once in several seconds, need not find it out a hundred times over. No I/O; time and chance are
// arguments. A note goes out only while there is something bad to tell, to a few others drawn by chance, so
// its cost does not grow with the square of the fleet.
#pragma once

#include "guard/terms.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace myrtlehead::repute {

// What one marshal has seen of a node since it last told: tries that the node failed, tries that found or
// kept no way to it, and tries completed.
struct Seen {
  std::uint16_t node = 0; // its mark, the same at every marshal
  std::uint8_t failed = 0, lost = 0, completed = 0;
};

// A note as it travels: version, the teller's zone, then 5 bytes for each node, big-endian.
struct Telling {
  std::uint16_t zone = 0;
  std::vector<Seen> nodes;
};
constexpr std::uint8_t kTellingVersion = 5;
constexpr std::size_t kMostNodes = 50; // 253 bytes in all
std::vector<std::uint8_t> pack(const Telling &telling);
std::optional<Telling> unpack(const std::uint8_t *bytes,
                              std::size_t n); // nullopt: no such note, or not whole

class Repute {
public:
  Repute(int me, int marshals, int zone) : me_(me), marshals_(marshals), zone_(zone) {}

  void finished(std::uint16_t node, Outcome outcome); // an own try
  std::vector<Note> due(Ns now, std::knuth_b &chance);
  // Others' word. What it makes of a node is asked for with doubtedUntil().
  void heard(int from, const Telling &telling, Ns now, std::knuth_b &chance);
  Ns doubtedUntil(std::uint16_t node) const; // 0: nothing is held against it
  void forget(std::uint16_t node);           // it has another life
  std::size_t size() const { return nodes_.size(); }

private:
  struct Held {
    double failed = 0, lost = 0, completed = 0; // as told, decaying
    Ns at = 0;
    int last = -1;     // who told something bad last
    bool more = false; // and whether another one did before
    int spells = 0;
    Ns until = 0;
  };
  bool room(std::uint16_t node) const;
  static void age(Held &held, Ns now);

  int me_, marshals_, zone_;
  Ns tellAt_ = 0;
  std::map<std::uint16_t, Seen> own_;
  std::map<std::uint16_t, Held> nodes_;
};

} // namespace myrtlehead::repute
