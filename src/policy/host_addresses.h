// The IP addresses of the hosts that SRV records name, and the releases that the hosts' TXT records give.
#pragma once

#include "policy/endpoint_merge_types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::endpoint_merge {

// Returns the number of the first valid word "release=<number>" in the space-separated text of a TXT record,
// or -1 if there is none.
int parseRelease(std::string_view text);

struct ResolvedAddress {
  std::string address;
  bool appearedLater = false; // not in the host's first answer, so the endpoint may have started after it
};

struct HostState {
  std::vector<ResolvedAddress> addresses;
  int release = -1; // from the TXT record; -1: unknown
  // Negative answers to address look-ups since the last answer with addresses.
  int consecutiveNegativeAnswers = 0;
  bool isInUse = false; // whether markInUse() was called since clearInUse()
};

class HostAddresses {
public:
  void add(const std::string &host) { hosts_.try_emplace(host); }
  // Applies the result of an address look-up. Hosts that were not added are ignored. The addresses are
  // cleared after `confirmations` consecutive negative answers.
  NextLookup onAnswer(const std::string &host, DnsRecordsResult result, std::vector<std::string> addresses,
                      int confirmations);
  void setRelease(const std::string &host, int release);
  const HostState *find(const std::string &host) const; // nullptr: the host was not added
  // To remove the hosts that no SRV target names: call clearInUse(), then markInUse() for each host that a
  // target names, then removeUnused(). markInUse() adds a host that is missing.
  void clearInUse();
  void markInUse(const std::string &host) { hosts_[host].isInUse = true; }
  void removeUnused();
  void restore(const std::string &host, const std::vector<std::string> &addresses, int release);
  const std::map<std::string, HostState> &all() const { return hosts_; }

private:
  std::map<std::string, HostState> hosts_;
};

} // namespace myrtlehead::endpoint_merge
