#include "control/peers/peer_transport.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace myrtlehead::peers {

namespace {
constexpr unsigned kTurn = 64; // datagrams, then others have theirs
}

// What can't be sent at once is lost, as any datagram may be.
net::Task<> PeerTransport::send() {
  for (;;) {
    const auto note = co_await router_.nextPeerMessage();
    if (note.bytes.size() > kMostBytes || note.to >= static_cast<int>(peers_.size())) continue;
    const auto &to = note.to < 0 ? all_ : peers_[static_cast<std::size_t>(note.to)];
    sendto(socket_->fd(), note.bytes.data(), note.bytes.size(), MSG_NOSIGNAL, to.asSockaddr(), to.size());
  }
}

net::Task<> PeerTransport::receive() {
  std::array<char, kMostBytes + 1> bytes; // one more shows a datagram that is too long
  for (unsigned n = 1;; ++n) {
    if (n % kTurn == 0) co_await sched_.sleep(0);
    net::Address from;
    socklen_t size = sizeof from.storage;
    const auto got = recvfrom(socket_->fd(), bytes.data(), bytes.size(), 0, from.asSockaddr(), &size);
    if (got < 0 && errno == EAGAIN) co_await socket_->waitReadable({});
    if (got <= 0 || static_cast<std::size_t>(got) > kMostBytes) continue;
    const auto peer = std::find(peers_.begin(), peers_.end(), from);
    if (peer == peers_.end()) continue;
    router_.onPeerMessage(static_cast<int>(peer - peers_.begin()),
                          {bytes.data(), static_cast<std::size_t>(got)});
  }
}

} // namespace myrtlehead::peers
