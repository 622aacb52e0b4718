#include "lab/link.h"

#include <algorithm>

namespace myrtlehead::lab {

namespace {

constexpr net::Nanoseconds kStallCheckInterval = 20'000'000;
constexpr net::Nanoseconds kConnectTimeout = 2'000'000'000;

} // namespace

Link::Link(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address target)
    : sched_(sched), budget_(budget), target_(target),
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
    if (isCut_) continue; // the destructor of the socket closes the connection
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
  const net::Deadline deadline{sched_.now() + kConnectTimeout, nullptr};
  auto connected = co_await net::connect(sched_, budget_, target_, deadline);
  if (!connected || isCut_) {
    relay->client->shutdown();
    co_return;
  }
  relay->server = std::move(*connected);
  sched_.spawn(forward(relay, Direction::requests));
  co_await forward(relay, Direction::responses);
}

net::Task<> Link::waitWhileStalled() {
  while (isStalled) co_await sched_.sleep(kStallCheckInterval);
}

bool Link::drops(Direction direction) const {
  return direction == Direction::requests ? dropsRequests : dropsResponses;
}

bool Link::countTowardsReset(std::string &chunk, Direction direction) {
  if (direction != Direction::requests || bytesToReset_ == 0) return false;
  const bool isDue = chunk.size() >= bytesToReset_;
  if (isDue) {
    chunk.resize(bytesToReset_);
    ++resets_;
  }
  bytesToReset_ -= chunk.size();
  return isDue;
}

net::Task<> Link::forward(std::shared_ptr<Relay> relay, Direction direction) {
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
    auto chunk = std::string(buffer.view());
    buffer.consume(chunk.size());
    if (drops(direction)) continue;
    const bool isLast = countTowardsReset(chunk, direction);
    const auto written = co_await to.write(chunk, {});
    if (written != net::ErrorCode::none || isLast) break;
  }
  relay->client->shutdown();
  relay->server->shutdown();
}

} // namespace myrtlehead::lab
