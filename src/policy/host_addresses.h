// The addresses of SRV targets' hosts, and the releases that their TXT records give.
#pragma once

#include "policy/endpoint_merge_types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::endpoint_merge {

// The number in "release=7" among the space-separated words of a TXT record; -1: it has none.
int parseRelease(std::string_view text);

struct ResolvedAddress {
  std::string address;
  bool isLater = false; // not in the host's first answer: its endpoint may have started since
};

struct HostState {
  std::vector<ResolvedAddress> addresses;
  int release = -1;        // by its TXT record; -1: unknown
  int negativeAnswers = 0; // in a row
  bool isMarked = false;   // by mark(), since unmarkAll()
};

class HostAddresses {
public:
  void add(const std::string &host) { hosts_.try_emplace(host); }
  // The result of an address look-up; hosts that were not added are ignored. Negative answers clear the
  // addresses once `confirmations` of them have come in a row.
  NextLookup onAnswer(const std::string &host, DnsRecordsResult result, std::vector<std::string> addresses,
                      int confirmations);
  void setRelease(const std::string &host, int release);
  const HostState *find(const std::string &host) const; // nullptr: not added
  // Forgets hosts without targets: unmarkAll(), mark() each that is in use, then removeUnmarked().
  void unmarkAll();
  void mark(const std::string &host) { hosts_[host].isMarked = true; }
  void removeUnmarked();
  void restore(const std::string &host, const std::vector<std::string> &addresses, int release);
  const std::map<std::string, HostState> &all() const { return hosts_; }

private:
  std::map<std::string, HostState> hosts_;
};

} // namespace myrtlehead::endpoint_merge
