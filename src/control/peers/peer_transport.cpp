#include "control/peers/peer_transport.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace myrtlehead::peers {

namespace {
constexpr unsigned kMaxDatagramsPerTurn = 64; // then receive() lets the other coroutines run
} // namespace

// A message that can't be sent without blocking is dropped; any datagram may be lost in any case.
net::Task<> PeerTransport::send() {
  for (;;) {
    const auto message = co_await router_.nextPeerMessage();
    const bool isBroadcast = message.to < 0;
    if (message.bytes.size() > kMaxDatagramBytes) continue;
    if (!isBroadcast && message.to >= static_cast<int>(peers_.size())) continue;
    const auto &to = isBroadcast ? broadcastAddress_ : peers_[static_cast<std::size_t>(message.to)];
    sendto(socket_->fd(), message.bytes.data(), message.bytes.size(), MSG_NOSIGNAL, to.asSockaddr(),
           to.size());
  }
}

net::Task<> PeerTransport::receive() {
  std::array<char, kMaxDatagramBytes + 1> bytes; // one extra byte reveals a datagram that is too long
  for (unsigned received = 1;; ++received) {
    if (received % kMaxDatagramsPerTurn == 0) co_await sched_.sleep(0);
    net::Address from;
    socklen_t addressSize = sizeof from.storage;
    const auto size = recvfrom(socket_->fd(), bytes.data(), bytes.size(), 0, from.asSockaddr(), &addressSize);
    if (size < 0 && errno == EAGAIN) co_await socket_->waitReadable({});
    if (size <= 0 || static_cast<std::size_t>(size) > kMaxDatagramBytes) continue;
    const auto peer = std::find(peers_.begin(), peers_.end(), from);
    if (peer == peers_.end()) continue;
    router_.onPeerMessage(static_cast<int>(peer - peers_.begin()),
                          {bytes.data(), static_cast<std::size_t>(size)});
  }
}

} // namespace myrtlehead::peers
