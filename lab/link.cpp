#include "lab/link.h"

#include <algorithm>

namespace myrtlehead::lab {

namespace {
constexpr net::Nanoseconds kLook = 20'000'000; // so often what is held up looks whether it may go on
}

Link::Link(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to)
    : sched_(sched), budget_(budget), to_(to),
      listener_(net::listenTcp(sched, budget, *net::parseAddress("127.0.0.1:0"))) {
  sched_.spawn(accept());
}

net::Task<> Link::accept() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (!socket) {
      co_await listener_->waitReadable({});
      continue;
    }
    if (cut_) continue; // its end is a reset for who writes
    const auto pair = std::make_shared<Pair>();
    pair->from = std::move(*socket);
    std::erase_if(open_, [](const auto &p) { return p.expired(); });
    open_.push_back(pair);
    sched_.spawn(serve(pair));
  }
}

void Link::cut() {
  cut_ = true;
  for (auto &weak : open_)
    if (const auto pair = weak.lock()) {
      pair->from->shutdown();
      if (pair->to != nullptr) pair->to->shutdown();
    }
}

net::Task<> Link::serve(std::shared_ptr<Pair> pair) {
  const net::Deadline until{sched_.now() + 2'000'000'000, nullptr};
  auto opened = co_await net::connect(sched_, budget_, to_, until);
  if (!opened || cut_) {
    pair->from->shutdown();
    co_return;
  }
  pair->to = std::move(*opened);
  sched_.spawn(pump(pair, true));
  co_await pump(pair, false);
}

net::Task<> Link::pump(std::shared_ptr<Pair> pair, bool there) {
  auto &from = there ? *pair->from : *pair->to;
  auto &to = there ? *pair->to : *pair->from;
  net::Buffer buffer;
  for (;;) {
    while (stalls) co_await sched_.sleep(kLook);
    const auto read = co_await from.read(buffer, {});
    if (read != net::ErrorCode::none) break;
    if (delay > 0) co_await sched_.sleep(delay);
    while (stalls) co_await sched_.sleep(kLook);
    auto piece = std::string(buffer.view());
    buffer.consume(piece.size());
    if (there ? losesThere : losesBack) continue;
    const bool last = there && left_ > 0 && piece.size() >= left_;
    if (last) piece.resize(left_), ++ended;
    if (there && left_ > 0) left_ -= piece.size();
    const auto written = co_await to.write(piece, {});
    if (written != net::ErrorCode::none || last) break;
  }
  pair->from->shutdown();
  pair->to->shutdown();
}

} // namespace myrtlehead::lab
