#include "lab/pipelines.h"

#include "format/pg/message.h"
#include "lab/bench_fleet.h"
#include "lab/process.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <vector>

namespace myrtlehead::lab {

namespace {

constexpr double kPerSecond = 400;
constexpr Nanoseconds kLasts = 5 * kSecond;
constexpr Nanoseconds kPatience = kSecond;
constexpr int kOutstanding = 64; // requests that all connections together may have out
constexpr double kSpread = 1.5;  // sigma of the nodes' log-normal work: one request in a hundred is slow
constexpr int kDepths[] = {1, 4, 16};

// One measure's result.
struct Figures {
  std::vector<double> tookMs; // of those served
  int asked = 0, inTime = 0;
  double cpuMicros = 0; // of the instance, a request
};

// Clients that keep up to `depth` requests outstanding on each connection. Requests are due at an even pace,
// whatever has been answered, and latency counts from when one was due.
class PipeliningClients {
public:
  PipeliningClients(sched::Scheduler &sched, net::DescriptorBudget &budget, net::Address marshal, int depth,
                    int run)
      : sched_(sched), budget_(budget), marshal_(marshal), depth_(depth), run_(run) {}

  sched::Task<Figures> measure() {
    for (int i = 0; i < kOutstanding / depth_; ++i) {
      connections_.push_back(std::make_unique<Connection>());
      co_await open(*connections_.back());
      sched_.spawn(read(*connections_.back()));
    }
    const Nanoseconds begun = sched_.now();
    const int all = static_cast<int>(kPerSecond * static_cast<double>(kLasts) / 1e9);
    for (; figures_.asked < all; ++figures_.asked) {
      const Nanoseconds due = begun + static_cast<Nanoseconds>(figures_.asked * 1e9 / kPerSecond);
      if (due > sched_.now()) co_await sched_.sleep(due - sched_.now());
      co_await ask(due);
    }
    co_await sched_.sleep(2 * kPatience); // for what is still out
    co_return std::move(figures_);
  }

private:
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::deque<Nanoseconds> due; // of the requests out, in their order
  };

  sched::Task<> open(Connection &connection) {
    auto opened = co_await net::connect(sched_, budget_, marshal_, {});
    if (!opened) throw std::runtime_error("the marshal takes no connection");
    connection.socket = std::move(*opened);
    std::string startup;
    pg::addStartup(startup, "svc", "main");
    co_await connection.socket->write(startup, {});
    pg::Message message;
    do co_await next(connection, message);
    while (message.type != 'Z');
  }

  // The next message, taken from the buffer; its body must not be used.
  sched::Task<bool> next(Connection &connection, pg::Message &message) {
    while (pg::parseMessage(connection.buffer.view(), message) != pg::ParseStatus::complete) {
      const auto cause = co_await connection.socket->read(connection.buffer, {});
      if (cause != net::ErrorCode::none) co_return false;
    }
    connection.buffer.consume(message.size);
    co_return true;
  }

  sched::Task<> ask(Nanoseconds due) {
    const auto fewer = [](const auto &a, const auto &b) { return a->due.size() < b->due.size(); };
    auto least = std::min_element(connections_.begin(), connections_.end(), fewer);
    while (static_cast<int>((*least)->due.size()) >= depth_) { // all are full: it waits at the client
      co_await sched_.wait(answered_);
      least = std::min_element(connections_.begin(), connections_.end(), fewer);
    }
    (*least)->due.push_back(due);
    std::string query;
    pg::addQuery(query, fmt::format("SELECT v FROM records WHERE k = '{:x}' /* id=p{}d{}r{},c=read,d={} */",
                                    figures_.asked, run_, depth_, figures_.asked, kPatience / kMillisecond));
    co_await (*least)->socket->write(query, {});
  }

  sched::Task<> read(Connection &connection) {
    bool served = false;
    for (pg::Message message; co_await next(connection, message);) {
      served = message.type == 'C' || (served && message.type != 'E');
      if (message.type != 'Z') continue;
      const Nanoseconds took = sched_.now() - connection.due.front();
      connection.due.pop_front();
      if (served) figures_.tookMs.push_back(static_cast<double>(took) / static_cast<double>(kMillisecond));
      figures_.inTime += served && took <= kPatience;
      served = false;
      answered_.notify();
    }
  }

  sched::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address marshal_;
  int depth_, run_;
  std::vector<std::unique_ptr<Connection>> connections_;
  sched::Event answered_;
  Figures figures_;
};

// A instance that serves, as a process.
struct Router {
  Router(const std::string &program, const std::string &configuration, const std::string &logFile)
      : process(sched, budget, program, {"serve", "--config", configuration}, logFile) {
    auto start = [&]() -> sched::Task<> {
      const net::Deadline until{sched.now() + 10 * kSecond, nullptr};
      const auto line = co_await process.waitForLine("instance is serving requests", until);
      const auto at = line.find(" at=");
      if (at != std::string::npos) address = net::parseAddress(line.substr(at + 4));
      sched.halt();
    };
    sched.spawn(start());
    sched.run();
    if (!address) throw std::runtime_error(program + " did not start");
  }
  sched::Scheduler sched;
  net::DescriptorBudget budget{10'000};
  Process process;
  std::optional<net::Address> address;
};

Figures measureOnce(const Router &marshal, int depth, int run) {
  sched::Scheduler sched;
  net::DescriptorBudget budget(10'000);
  PipeliningClients clients(sched, budget, *marshal.address, depth, run);
  Figures out;
  auto body = [&]() -> sched::Task<> {
    const auto before = marshal.process.resourceUsage().cpuSeconds;
    out = co_await clients.measure();
    out.cpuMicros = (marshal.process.resourceUsage().cpuSeconds - before) * 1e6 / out.asked;
    sched.halt();
  };
  sched.spawn(body());
  sched.run();
  sched.destroyAllTasks();
  std::sort(out.tookMs.begin(), out.tookMs.end());
  return out;
}

// The figures of several runs, told as median (least-most).
struct Row {
  std::vector<double> inTime, p50, p99, cpu;

  void add(const Figures &f) {
    const auto at = [&](double part) {
      if (f.tookMs.empty()) return 0.0;
      return f.tookMs[static_cast<std::size_t>(part * static_cast<double>(f.tookMs.size() - 1))];
    };
    inTime.push_back(static_cast<double>(f.inTime) / f.asked);
    p50.push_back(at(0.5));
    p99.push_back(at(0.99));
    cpu.push_back(f.cpuMicros);
  }
  static std::string spread(std::vector<double> values, int digits) {
    std::sort(values.begin(), values.end());
    return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", values[values.size() / 2], digits, values.front(), digits,
                       values.back(), digits);
  }
};

} // namespace

int measurePipelines(const PipelineMeasure &measure) {
  ChildProcess fleet;
  const auto addresses = startBenchFleet(fleet, {.cores = 10'000,
                                                 .meanServiceTime = 20 * kMillisecond,
                                                 .serviceTimeSigma = kSpread,
                                                 .maxQueueLength = 10'000});
  const auto configuration = writeBenchConfig(addresses, measure.folder);
  std::vector<std::pair<std::string, std::string>> programs{{"this", measure.program}};
  if (!measure.before.empty()) programs.insert(programs.begin(), {"before", measure.before});
  std::vector<std::unique_ptr<Router>> marshals;
  for (const auto &[name, program] : programs)
    marshals.push_back(
        std::make_unique<Router>(program, configuration, measure.folder + "/" + name + ".log"));
  fmt::print(
      "{:.0f} requests a second for {} s, {} out at most, work log-normal (sigma {}), patience {} ms; {} "
      "runs each, median (least-most)\n",
      kPerSecond, kLasts / kSecond, kOutstanding, kSpread, kPatience / kMillisecond, measure.runs);
  fmt::print("{:>5}  {:<7} {:>24} {:>22} {:>24} {:>22}\n", "depth", "", "served in time", "p50 ms", "p99 ms",
             "us of CPU a request");
  for (const int depth : kDepths) {
    std::vector<Row> rows(programs.size());
    for (int run = 0; run < measure.runs; ++run)
      for (std::size_t i = 0; i < programs.size(); ++i) rows[i].add(measureOnce(*marshals[i], depth, run));
    for (std::size_t i = 0; i < programs.size(); ++i)
      fmt::print("{:>5}  {:<7} {:>24} {:>22} {:>24} {:>22}\n", depth, programs[i].first,
                 Row::spread(rows[i].inTime, 4), Row::spread(rows[i].p50, 1), Row::spread(rows[i].p99, 1),
                 Row::spread(rows[i].cpu, 1));
    std::fflush(stdout);
  }
  return 0;
}

} // namespace myrtlehead::lab
