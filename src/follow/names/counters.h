// What look-ups and the merged set came to, as metrics (prometheus-cpp).
#pragma once

#include "decide/resolver/lookup.h"
#include "decide/sources/sources.h"

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace myrtlehead::names {

class Counters {
public:
  explicit Counters(prometheus::Registry &registry);
  ~Counters();
  void query(bool tcp);
  void mishap(resolver::Mishap what);
  void lookup(resolver::Said said);
  void set(const sources::Figures &figures);
  void staleness(double seconds); // of the oldest answer served past its lifetime; 0: none is

private:
  struct Families;
  std::unique_ptr<Families> f_;
};

} // namespace myrtlehead::names
