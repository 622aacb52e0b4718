// Discovery's JSON: the whole list, or the entries that have changed.
#pragma once

#include "format/json/json.h"
#include "marshal/marshal.h"

namespace myrtlehead::catalog {

struct List {
  std::uint64_t index = 0;
  bool whole = false;
  std::vector<Entry> entries;
};

// nullopt: not a list, `error` says why. `unixAtZero`: the Unix time at which the marshal's clock read
// nought.
std::optional<List> readList(const json::Value &in, const std::vector<std::string> &zones, Ns unixAtZero,
                             std::string &error);

} // namespace myrtlehead::catalog
