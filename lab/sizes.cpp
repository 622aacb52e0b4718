#include "lab/sizes.h"

#include "policy/endpoint_merge.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <random>

namespace myrtlehead::lab {

namespace {

constexpr int kServers = 10'000, kMarshals = 500, kSize = 100, kChanged = kServers / 100;
using Holdings = std::vector<std::vector<int>>; // by instance: numbers of servers, sorted

double cpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

std::vector<std::string> namesOf(const std::vector<int> &servers) {
  std::vector<std::string> out;
  for (const int s : servers) out.push_back("s-" + std::to_string(s) + ".maps.example:6432");
  return out;
}

// One in a hundred goes, as many new ones come.
std::vector<int> changed(std::vector<int> servers, std::knuth_b &chance) {
  std::shuffle(servers.begin(), servers.end(), chance);
  for (int i = 0; i < kChanged; ++i) servers[static_cast<std::size_t>(i)] = kServers + i;
  std::sort(servers.begin(), servers.end());
  return servers;
}

// The k-th server to the k-th instance, each server to five in a row.
Holdings modulo(const std::vector<int> &servers) {
  Holdings out(kMarshals);
  const int each = kMarshals * kSize / kServers;
  for (std::size_t i = 0; i < servers.size(); ++i)
    for (int k = 0; k < each; ++k)
      out[(i * static_cast<std::size_t>(each) + static_cast<std::size_t>(k)) % kMarshals].push_back(
          servers[i]);
  return out;
}

// Each instance draws its hundred anew, from a seed of its own.
Holdings drawn(const std::vector<int> &servers) {
  Holdings out;
  for (int m = 0; m < kMarshals; ++m) {
    std::knuth_b chance(static_cast<std::uint64_t>(m));
    auto all = servers;
    std::shuffle(all.begin(), all.end(), chance);
    all.resize(kSize);
    std::sort(all.begin(), all.end());
    out.push_back(std::move(all));
  }
  return out;
}

std::size_t moves(const Holdings &a, const Holdings &b) {
  std::size_t n = 0;
  for (std::size_t m = 0; m < a.size(); ++m) {
    std::vector<int> gone;
    std::set_symmetric_difference(a[m].begin(), a[m].end(), b[m].begin(), b[m].end(),
                                  std::back_inserter(gone));
    n += gone.size();
  }
  return n;
}

// Each instance has the same requests and spreads them evenly over what it holds.
double spread(const Holdings &h, const std::vector<int> &servers) {
  std::vector<double> load(2 * kServers);
  for (const auto &held : h)
    for (const int s : held) load[static_cast<std::size_t>(s)] += 1.0 / static_cast<double>(held.size());
  double most = 0;
  for (const int s : servers) most = std::max(most, load[static_cast<std::size_t>(s)]);
  return most / (static_cast<double>(kMarshals) / static_cast<double>(servers.size()));
}

std::size_t unheld(const Holdings &h, const std::vector<int> &servers) {
  std::vector<bool> any(2 * kServers);
  for (const auto &held : h)
    for (const int s : held) any[static_cast<std::size_t>(s)] = true;
  return static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(),
                                                [&](int s) { return !any[static_cast<std::size_t>(s)]; }));
}

void subsets() {
  std::knuth_b chance(7);
  std::vector<int> before(kServers);
  for (int i = 0; i < kServers; ++i) before[static_cast<std::size_t>(i)] = i;
  const auto after = changed(before, chance);
  Holdings was(kMarshals), is(kMarshals);
  double first = 0, update = 0;
  const auto beforeNames = namesOf(before), afterNames = namesOf(after);
  for (int m = 0; m < kMarshals; ++m) {
    subsetting::Subset s(kMarshals, m, kSize);
    const auto fill = [&](const std::vector<std::string> &names, const std::vector<int> &servers,
                          Holdings &out, double &time) {
      const double begun = cpuSeconds();
      const auto held = s.select(names);
      time += cpuSeconds() - begun;
      for (std::size_t i = 0; i < held.size(); ++i)
        if (held[i]) out[static_cast<std::size_t>(m)].push_back(servers[i]);
    };
    fill(beforeNames, before, was, first);
    fill(afterNames, after, is, update);
  }
  const std::size_t least = 2 * kChanged * kMarshals * kSize / kServers;
  fmt::print("{} servers, {} marshals, about {} held, {} changed; connections that must move at least: {}\n",
             kServers, kMarshals, kSize, kChanged, least);
  fmt::print("{:<12} {:>8} {:>10} {:>10} {:>9} {:>12} {:>12}\n", "subsets", "moves", "over least", "max/mean",
             "unheld", "smallest", "largest");
  const auto row = [&](const char *name, const Holdings &a, const Holdings &b) {
    const auto [smallest, largest] = std::minmax_element(
        b.begin(), b.end(), [](const auto &x, const auto &y) { return x.size() < y.size(); });
    fmt::print("{:<12} {:>8} {:>10.2f} {:>10.2f} {:>9} {:>12} {:>12}\n", name, moves(a, b),
               static_cast<double>(moves(a, b)) / static_cast<double>(least), spread(b, after),
               unheld(b, after), smallest->size(), largest->size());
  };
  row("rendezvous", was, is);
  row("modulo", modulo(before), modulo(after));
  row("random", drawn(before), drawn(after));
  fmt::print("CPU of a marshal: {:.2f} ms for the first set, {:.2f} ms for the change\n",
             first * 1e3 / kMarshals, update * 1e3 / kMarshals);
}

// All of `n` servers by five names or fewer, and one in a hundred of them replaced.
void merges(int n, int size) {
  using namespace endpoint_merge;
  EndpointMerge s({}, 3600 * kSecond, 0, subsetting::Subset(kMarshals, 3, size));
  const int sets = std::max(n / 2000, 1);
  const auto targets = [&](int set, int from) {
    std::vector<Target> out;
    for (int i = from + set; i < from + n; i += sets)
      out.push_back({"s-" + std::to_string(i) + ".maps.example", 6432, 0, 1});
    return out;
  };
  for (int i = 0; i < sets; ++i) s.addSrvName("_pg" + std::to_string(i) + "._tcp.maps.example", 1, -1);
  Nanoseconds now = kSecond;
  const auto tell = [&](int from) {
    for (int i = 0; i < sets; ++i)
      s.onSrvAnswer(static_cast<std::size_t>(i), DnsRecordsResult::records, targets(i, from),
                    now + 60 * kSecond, now);
    for (const auto &w : s.hostsToResolve()) {
      const int i = std::stoi(w.host.substr(2));
      s.onAddressAnswer(w.host, DnsRecordsResult::records,
                        {"10." + std::to_string(i >> 16) + "." + std::to_string(i >> 8 & 255) + "." +
                         std::to_string(i & 255)});
    }
  };
  tell(0);
  const auto first = s.mergedEndpoints(now).size();
  constexpr int kRounds = 20;
  double told = 0, merged = 0;
  for (int round = 1; round <= kRounds; ++round) {
    now += 30 * kSecond;
    double begun = cpuSeconds();
    tell(round * std::max(n / 100, 1));
    told += cpuSeconds() - begun;
    begun = cpuSeconds();
    s.mergedEndpoints(now);
    merged += cpuSeconds() - begun;
  }
  fmt::print("merge of {:>6} servers, {:>6} held: {:.3f} ms to take in what was told, {:.3f} ms to merge\n",
             n, first, told * 1e3 / kRounds, merged * 1e3 / kRounds);
}

} // namespace

int sizes() {
  subsets();
  for (const int n : {10, 100, 1000, 10'000}) merges(n, 0);
  merges(10'000, kSize);
  return 0;
}

} // namespace myrtlehead::lab
