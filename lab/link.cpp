#include "lab/link.h"

#include <algorithm>

namespace myrtlehead::lab {

namespace {

constexpr net::Nanoseconds kStallCheckInterval = 20'000'000;
constexpr net::Nanoseconds kConnectTimeout = 2'000'000'000;

} // namespace

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
    if (isCut_) continue; // closed with its socket: a reset for whoever writes
    const auto relay = std::make_shared<Relay>();
    relay->client = std::move(*socket);
    std::erase_if(relays_, [](const auto &weak) { return weak.expired(); });
    relays_.push_back(relay);
    sched_.spawn(serve(relay));
  }
}

void Link::cut() {
  isCut_ = true;
  for (auto &weak : relays_) {
    const auto relay = weak.lock();
    if (relay == nullptr) continue;
    relay->client->shutdown();
    if (relay->server != nullptr) relay->server->shutdown();
  }
}

net::Task<> Link::serve(std::shared_ptr<Relay> relay) {
  const net::Deadline until{sched_.now() + kConnectTimeout, nullptr};
  auto connected = co_await net::connect(sched_, budget_, to_, until);
  if (!connected || isCut_) {
    relay->client->shutdown();
    co_return;
  }
  relay->server = std::move(*connected);
  sched_.spawn(pump(relay, Direction::requests));
  co_await pump(relay, Direction::responses);
}

net::Task<> Link::waitWhileStalled() {
  while (isStalled) co_await sched_.sleep(kStallCheckInterval);
}

bool Link::drops(Direction direction) const {
  return direction == Direction::requests ? dropsRequests : dropsResponses;
}

// Whether the connection is reset after this piece, which is shortened to the byte that is due.
bool Link::isResetDue(std::string &piece, Direction direction) {
  if (direction != Direction::requests || bytesToReset_ == 0) return false;
  const bool isDue = piece.size() >= bytesToReset_;
  if (isDue) {
    piece.resize(bytesToReset_);
    ++resets_;
  }
  bytesToReset_ -= piece.size();
  return isDue;
}

net::Task<> Link::pump(std::shared_ptr<Relay> relay, Direction direction) {
  const bool isRequests = direction == Direction::requests;
  auto &from = isRequests ? *relay->client : *relay->server;
  auto &to = isRequests ? *relay->server : *relay->client;
  net::Buffer buffer;
  for (;;) {
    co_await waitWhileStalled();
    const auto read = co_await from.read(buffer, {});
    if (read != net::ErrorCode::none) break;
    if (delay > 0) co_await sched_.sleep(delay);
    co_await waitWhileStalled();
    auto piece = std::string(buffer.view());
    buffer.consume(piece.size());
    if (drops(direction)) continue;
    const bool isLast = isResetDue(piece, direction);
    const auto written = co_await to.write(piece, {});
    if (written != net::ErrorCode::none || isLast) break;
  }
  relay->client->shutdown();
  relay->server->shutdown();
}

} // namespace myrtlehead::lab
