// Discovery's JSON: the whole list, or the entries that have changed.
#pragma once

#include "format/json/json.h"
#include "router/router.h"

namespace myrtlehead::discovery {

struct List {
  std::uint64_t index = 0;
  bool whole = false;
  std::vector<Entry> entries;
};

// nullopt: not a list, `error` says why. `unixAtZero`: the Unix time at which the instance's clock read
// nought.
std::optional<List> readList(const json::Value &in, const std::vector<std::string> &zones,
                             Nanoseconds unixAtZero, std::string &error);

} // namespace myrtlehead::discovery
