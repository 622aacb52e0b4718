// Fuzz target: applies any sequence of endpoint list updates and DNS answers to the endpoint merge, and
// checks its invariants after each step.
#include "policy/endpoint_merge.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <set>

using namespace myrtlehead;
using namespace myrtlehead::endpoint_merge;

namespace {

void require(bool holds, const char *invariant) {
  if (holds) return;
  std::fprintf(stderr, "invariant violated: %s\n", invariant);
  std::abort();
}

struct ByteReader {
  const std::uint8_t *position, *end;
  bool empty() const { return position == end; }
  // Returns 0 at the end of the input.
  int next() { return empty() ? 0 : *position++; }
};

std::string host(int i) { return "s" + std::to_string(i % 16); }
std::string ip(int i) { return "10.0.0." + std::to_string(i % 16); }

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  ByteReader in{data, data + std::min<std::size_t>(size, 2000)};
  MergeSettings settings;
  // Longer than any sequence, so that draining endpoints are not forgotten.
  settings.departedMemoryTime = 365 * 86'400 * kSecond;
  EndpointMerge merge(settings, 600 * kSecond, 0, subsetting::Subset(3, 1, in.next() % 4));
  merge.addSrvName("a", 1, -1);
  merge.addSrvName("b", -1, 0);
  std::set<int> draining;
  Nanoseconds now = kSecond;
  while (!in.empty()) {
    const int action = in.next();
    now += in.next() * kSecond / 4;
    const int index = in.next();
    if (action % 8 < 3) {
      std::vector<Target> targets;
      for (int remaining = index % 8; remaining > 0; --remaining) {
        const int value = in.next();
        targets.push_back({host(value), 1, value / 64, value % 7});
      }
      const auto result = static_cast<DnsRecordsResult>(action / 8 % 5);
      merge.onSrvAnswer(static_cast<std::size_t>(action / 64 % 2),
                        targets.empty() ? result : DnsRecordsResult::records, targets, now + 30 * kSecond,
                        now);
    } else if (action % 8 < 5) {
      merge.onAddressAnswer(host(index), static_cast<DnsRecordsResult>(action / 8 % 5),
                            {ip(in.next()), ip(index)});
    } else if (action % 8 == 5) {
      merge.onReleaseAnswer(host(index), in.next() % 4 - 1);
    } else if (action % 8 == 6) {
      const auto state = static_cast<EndpointState>(action / 8 % 3);
      merge.onEndpointList(
          {{"n" + std::to_string(index % 16), ip(index) + ":1", {.build = 1, .state = state}}},
          ListUpdate::partial, now);
      if (state == EndpointState::ready)
        draining.erase(index % 16);
      else
        draining.insert(index % 16);
    } else {
      merge.onEndpointListFailed();
      EndpointMerge restarted(settings, 600 * kSecond, 0, subsetting::Subset(3, 1, 0));
      restarted.addSrvName("a", 1, -1);
      restarted.addSrvName("b", -1, 0);
      restarted.restore(merge.snapshot(), now);
      merge = restarted;
    }
    std::set<std::string> addresses;
    for (const auto &endpoint : merge.mergedEndpoints(now)) {
      require(addresses.insert(endpoint.address).second, "each address is listed once");
      for (const int drainingIndex : draining)
        require(endpoint.address != ip(drainingIndex) + ":1" || endpoint.info.state != EndpointState::ready,
                "a draining endpoint is not ready");
      require(endpoint.info.weight > 0 && endpoint.info.weight <= 1 && endpoint.info.priorityGroup >= 0,
              "a weight is in (0, 1] and a priority group is not negative");
    }
    require(merge.nextChange(now) > now, "the next change is in the future");
    merge.hostsToResolve();
  }
  return 0;
}
