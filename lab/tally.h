// Counts over the logs of a whole fleet: what is harmless in one instance's log shows when it is summed by
// second.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::lab {

// What one kind of line came to: in all, how many instances wrote it, and its busiest second.
struct Kind {
  std::uint64_t lines = 0, marshals = 0;
  std::int64_t busiest = 0;   // Unix time, s
  std::uint64_t most = 0;     // lines in it
  std::uint64_t together = 0; // instances in it
};

class Tally {
public:
  // One instance's log, in the text form. What is no line of a log is counted and passed over.
  void read(std::istream &log);
  std::map<std::string, Kind> kinds() const; // by package and message, numbers left out of it
  std::uint64_t passedOver() const { return passedOver_; }

private:
  struct Second {
    std::uint64_t lines = 0, marshals = 0, last = 0; // last: the instance counted last
  };
  struct Held {
    std::map<std::int64_t, Second> seconds;
    std::uint64_t marshals = 0, last = 0;
  };
  std::map<std::string, Held> kinds_;
  std::uint64_t logs_ = 0, passedOver_ = 0;
};

// "guard: votes to promote build # at stage #": the package and the message of a line, its figures left out;
// empty if it is no line of a log. `at` becomes the Unix time in whole seconds.
std::string kindOf(std::string_view line, std::int64_t &at);

std::string table(const std::map<std::string, Kind> &kinds);

} // namespace myrtlehead::lab
