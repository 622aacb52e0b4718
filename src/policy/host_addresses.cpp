#include "policy/host_addresses.h"

#include "policy/rollout_types.h"

#include <algorithm>
#include <charconv>

namespace myrtlehead::endpoint_merge {

int parseRelease(std::string_view text) {
  constexpr std::string_view kKey = "release=";
  while (!text.empty()) {
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!word.starts_with(kKey)) continue;
    int release = -1;
    const auto read = std::from_chars(word.data() + kKey.size(), word.data() + word.size(), release);
    const bool isWhole = read.ec == std::errc{} && read.ptr == word.data() + word.size();
    if (isWhole && release >= 0 && release < kUnknownBuild) return release;
  }
  return -1;
}

NextLookup HostAddresses::onAnswer(const std::string &name, DnsRecordsResult result,
                                   std::vector<std::string> addresses, int confirmations) {
  const auto it = hosts_.find(name);
  if (it == hosts_.end() || result == DnsRecordsResult::failed) return NextLookup::onSchedule;
  auto &host = it->second;
  if (result != DnsRecordsResult::records) {
    // Guards against a single wrong negative answer, as loss retention does for record sets.
    if (++host.negativeAnswers >= confirmations) host.addresses.clear();
    return host.addresses.empty() ? NextLookup::onSchedule : NextLookup::soon;
  }
  host.negativeAnswers = 0;
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  if (addresses.size() > kMaxAddressesPerHost) addresses.resize(kMaxAddressesPerHost);
  std::vector<ResolvedAddress> resolved;
  for (auto &address : addresses) {
    const auto previous = std::find_if(host.addresses.begin(), host.addresses.end(),
                                       [&](const auto &known) { return known.address == address; });
    const bool isLater = previous != host.addresses.end() ? previous->isLater : !host.addresses.empty();
    resolved.push_back({std::move(address), isLater});
  }
  host.addresses.swap(resolved);
  return NextLookup::onSchedule;
}

void HostAddresses::setRelease(const std::string &name, int release) {
  const auto host = hosts_.find(name);
  if (host != hosts_.end()) host->second.release = release;
}

const HostState *HostAddresses::find(const std::string &name) const {
  const auto host = hosts_.find(name);
  return host == hosts_.end() ? nullptr : &host->second;
}

void HostAddresses::unmarkAll() {
  for (auto &[name, host] : hosts_) host.isMarked = false;
}

void HostAddresses::removeUnmarked() {
  std::erase_if(hosts_, [](const auto &host) { return !host.second.isMarked; });
}

void HostAddresses::restore(const std::string &name, const std::vector<std::string> &addresses, int release) {
  auto &host = hosts_[name];
  host.release = release;
  for (const auto &address : addresses) host.addresses.push_back({address, false});
}

} // namespace myrtlehead::endpoint_merge
