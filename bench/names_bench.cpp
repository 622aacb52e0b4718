// Benchmarks for decoding a DNS response, merging its records and writing a log line. Prints ns per
// operation.
#include "base/log/log.h"
#include "format/dns/message.h"
#include "policy/endpoint_merge.h"

#include <benchmark/benchmark.h>
#include <fcntl.h>

using namespace myrtlehead;

namespace {

std::string u16(unsigned n) { return {static_cast<char>(n >> 8), static_cast<char>(n & 0xff)}; }
std::string label(const std::string &text) { return static_cast<char>(text.size()) + text; }

std::string srvResponse(int records) {
  std::string out = u16(7) + u16(0x8400) + u16(1) + u16(static_cast<unsigned>(records)) + u16(0) + u16(0);
  out += label("_pg") + label("_tcp") + label("maps") + label("example") + '\0' + u16(33) + u16(1);
  for (int i = 0; i < records; ++i) {
    const auto data = u16(0) + u16(1) + u16(6432) + label("s-" + std::to_string(i)) + u16(0xc000 + 12 + 9);
    out += u16(0xc00c) + u16(33) + u16(1) + u16(0) + u16(60) + u16(static_cast<unsigned>(data.size())) + data;
  }
  return out;
}

void decode(benchmark::State &state) {
  const auto bytes = srvResponse(static_cast<int>(state.range(0)));
  const dns::Sent sent{7, {"_pg._tcp.maps.example", dns::Type::srv}, 0};
  dns::Message message;
  for (auto _ : state)
    if (dns::readAnswer(bytes, sent, message) != dns::Reading::answer)
      state.SkipWithError("the response was not decoded");
}

void merge(benchmark::State &state) {
  using namespace endpoint_merge;
  const int targetCount = static_cast<int>(state.range(0));
  EndpointMerge endpointMerge({}, 3600 * kSecond, 0, subsetting::Subset(1, 0, 0));
  endpointMerge.addSrvName("_pg._tcp.maps.example", 1, -1);
  std::vector<Target> targets;
  for (int i = 0; i < targetCount; ++i)
    targets.push_back({"s-" + std::to_string(i) + ".maps.example", 6432, 0, 1});
  endpointMerge.onSrvAnswer(0, DnsRecordsResult::records, targets, 60 * kSecond, kSecond);
  for (int i = 0; i < targetCount; ++i)
    endpointMerge.onAddressAnswer(targets[static_cast<std::size_t>(i)].host, DnsRecordsResult::records,
                                  {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250)});
  for (auto _ : state) {
    endpointMerge.onSrvAnswer(0, DnsRecordsResult::records, targets, 60 * kSecond, kSecond);
    benchmark::DoNotOptimize(endpointMerge.mergedEndpoints(kSecond));
  }
}

void logLine(benchmark::State &state) {
  const int fd = open("/dev/null", O_WRONLY);
  log::Logs logs(fd, state.range(0) == 0 ? log::Format::text : log::Format::json, {});
  const auto log = logs.forPackage("bench");
  for (auto _ : state) log.info("watch on discovery ended", {{"cause", "timed out"}, {"status", 200}});
  close(fd);
}

void logLineLeftOut(benchmark::State &state) {
  log::Logs logs(2, log::Format::text, {});
  const auto log = logs.forPackage("bench");
  for (auto _ : state) log.debug("try", {{"node", "s-1"}, {"outcome", "completed"}, {"load_fields", 1}});
}

} // namespace

BENCHMARK(decode)->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK(merge)->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK(logLine)->Arg(0)->Arg(1);
BENCHMARK(logLineLeftOut);
BENCHMARK_MAIN();
