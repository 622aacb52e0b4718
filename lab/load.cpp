#include "lab/load.h"

#include "format/pg/message.h"

#include <charconv>

namespace myrtlehead::lab {

LoadTool::LoadTool(net::Scheduler &sched, net::DescriptorBudget &budget, std::function<net::Address()> to,
                   const Load &load, std::uint64_t seed, std::string prefix)
    : sched_(sched), budget_(budget), to_(std::move(to)), load_(load), chance_(seed),
      prefix_(std::move(prefix)) {}

// Guards the measure against a machine that stood still: what fell due meanwhile is due at its own time.
net::Task<> LoadTool::run() {
  const Nanoseconds begun = sched_.now();
  std::exponential_distribution<double> gap(load_.perSecond);
  for (double at = gap(chance_); at < static_cast<double>(load_.lasts) / 1e9; at += gap(chance_)) {
    const Nanoseconds due = begun + static_cast<Nanoseconds>(at * 1e9);
    if (due > sched_.now()) co_await sched_.sleep(due - sched_.now());
    reqs_.push_back({due});
    due_.push_back(reqs_.size() - 1);
    ++open_;
    if (idle_ == 0 && workers_ < load_.connections) {
      ++workers_;
      sched_.spawn(worker());
    } else {
      more_.notify();
    }
  }
}

net::Task<> LoadTool::finish() {
  const Nanoseconds until = sched_.now() + 2 * load_.patience + kSecond;
  while (open_ > 0 && sched_.now() < until) co_await sched_.sleep(10 * kMillisecond);
  for (auto &req : reqs_)
    if (req.ended == Ended::open) req.ended = Ended::lost;
}

std::string LoadTool::statement(std::size_t number) {
  std::uniform_real_distribution<double> any(0, 1);
  const double draw = any(chance_);
  const char *route = draw < load_.writes ? "write" : draw < load_.writes + load_.once ? "once" : "read";
  const bool reads = std::string_view(route) == "read";
  const auto comment = " /* id=" + prefix_ + std::to_string(number) + ",c=" + route +
                       ",d=" + std::to_string(load_.patience / kMillisecond) + " */";
  return (reads ? "SELECT v FROM records WHERE k = '7f'"
                : "INSERT INTO records (k, v) VALUES ('7f', 'x') RETURNING v") +
         comment;
}

// One connection; opened anew where it breaks. A request whose connection breaks before its answer is lost.
net::Task<> LoadTool::worker() {
  for (;;) {
    const net::Deadline soon{sched_.now() + kSecond, nullptr};
    auto socket = co_await net::connect(sched_, budget_, to_(), soon);
    if (!socket) {
      co_await sched_.sleep(5 * kMillisecond);
      continue;
    }
    net::Buffer buffer;
    std::string opening;
    pg::addStartup(opening, "svc", "main");
    co_await (*socket)->write(opening, soon);
    bool good = true, ready = false;
    while (good && !ready) {
      pg::Message m;
      const auto parsed = pg::parseMessage(buffer.view(), m);
      if (parsed == pg::Parsed::whole) ready = m.type == 'Z', buffer.consume(m.size);
      if (parsed == pg::Parsed::more) {
        const auto cause = co_await (*socket)->read(buffer, soon);
        good = cause == net::ErrorCode::none;
      }
    }
    while (good) {
      while (due_.empty()) {
        ++idle_;
        co_await sched_.wait(more_);
        --idle_;
      }
      if (!buffer.empty()) stray_ = true;
      if (!(*socket)->isQuiet()) break; // closed while idle: as a client does, it opens another
      const auto number = due_.front();
      due_.pop_front();
      good = co_await ask(**socket, buffer, number);
    }
  }
}

net::Task<bool> LoadTool::ask(net::Socket &socket, net::Buffer &buffer, std::size_t number) {
  auto &req = reqs_[number];
  std::string out;
  pg::addQuery(out, statement(number));
  const net::Deadline until{sched_.now() + 2 * load_.patience + kSecond, nullptr};
  auto cause = co_await socket.write(out, until);
  bool over = false;
  auto ended = Ended::lost;
  while (cause == net::ErrorCode::none && !over) {
    pg::Message m;
    if (pg::parseMessage(buffer.view(), m, pg::kMostRow) != pg::Parsed::whole) {
      cause = co_await socket.read(buffer, until);
      continue;
    }
    if (m.type == 'C') ended = Ended::completed, ++req.answers;
    if (m.type == 'E') ended = pg::errorCode(m.body) == "53300" ? Ended::shed : Ended::errored, ++req.answers;
    const auto build = m.type == 'D' ? m.body.rfind(' ') : std::string_view::npos;
    if (build != std::string_view::npos)
      std::from_chars(m.body.data() + build + 1, m.body.data() + m.body.size(), req.build);
    over = m.type == 'Z';
    buffer.consume(m.size);
  }
  req.took = sched_.now() - req.due;
  req.ended = over ? ended : Ended::lost;
  --open_;
  co_return over;
}

} // namespace myrtlehead::lab
