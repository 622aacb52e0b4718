// Any sequence of list updates and DNS answers, with the invariants that must hold after each step.
#include "policy/endpoint_merge.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <set>

using namespace myrtlehead;
using namespace myrtlehead::endpoint_merge;

namespace {

void must(bool holds, const char *what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

struct Bytes {
  const std::uint8_t *at, *end;
  bool empty() const { return at == end; }
  int next() { return empty() ? 0 : *at++; }
};

std::string host(int i) { return "s" + std::to_string(i % 16); }
std::string ip(int i) { return "10.0.0." + std::to_string(i % 16); }

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  Bytes in{data, data + std::min<std::size_t>(size, 2000)};
  MergeSettings settings;
  settings.departedMemoryTime = 365 * 86'400 *
                                kSecond; // longer than any sequence: what drains is not forgotten
  EndpointMerge s(settings, 600 * kSecond, 0, subsetting::Subset(3, 1, in.next() % 4));
  s.addSrvName("a", 1, -1);
  s.addSrvName("b", -1, 0);
  std::set<int> draining;
  Nanoseconds now = kSecond;
  while (!in.empty()) {
    const int what = in.next();
    now += in.next() * kSecond / 4;
    const int who = in.next();
    if (what % 8 < 3) {
      std::vector<Target> targets;
      for (int n = who % 8; n > 0; --n) {
        const int t = in.next();
        targets.push_back({host(t), 1, t / 64, t % 7});
      }
      const auto result = static_cast<DnsRecordsResult>(what / 8 % 5);
      s.onSrvAnswer(static_cast<std::size_t>(what / 64 % 2),
                    targets.empty() ? result : DnsRecordsResult::records, targets, now + 30 * kSecond, now);
    } else if (what % 8 < 5) {
      s.onAddressAnswer(host(who), static_cast<DnsRecordsResult>(what / 8 % 5), {ip(in.next()), ip(who)});
    } else if (what % 8 == 5) {
      s.onReleaseAnswer(host(who), in.next() % 4 - 1);
    } else if (what % 8 == 6) {
      const auto mode = static_cast<EndpointState>(what / 8 % 3);
      s.onEndpointList({{"n" + std::to_string(who % 16), ip(who) + ":1", {.build = 1, .state = mode}}},
                       ListUpdate::partial, now);
      if (mode == EndpointState::ready)
        draining.erase(who % 16);
      else
        draining.insert(who % 16);
    } else {
      s.onEndpointListFailed();
      EndpointMerge next(settings, 600 * kSecond, 0, subsetting::Subset(3, 1, 0));
      next.addSrvName("a", 1, -1);
      next.addSrvName("b", -1, 0);
      next.restore(s.snapshot(), now);
      s = next; // a restart
    }
    std::set<std::string> once;
    for (const auto &e : s.mergedEndpoints(now)) {
      must(once.insert(e.address).second, "each address once");
      for (const int d : draining)
        must(e.address != ip(d) + ":1" || e.info.state != EndpointState::ready, "what drains gets nothing");
      must(e.info.weight > 0 && e.info.weight <= 1 && e.info.priorityGroup >= 0, "weights are parts");
    }
    must(s.nextChange(now) > now, "time goes on");
    s.hostsToResolve();
  }
  return 0;
}
