#include "lab/relay.h"

#include <array>
#include <cstdlib>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {

// Two descriptors whose bytes go to each other. What can't be written at once ends both: requests and answers
// are small.
struct Pair {
  int fd[2];
  bool over = false;
};
struct End {
  Pair *pair;
  int side;
};

void passOn(End &end) {
  std::array<char, 16384> bytes;
  auto &p = *end.pair;
  const auto n = recv(p.fd[end.side], bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN) return;
  if (n <= 0 || send(p.fd[1 - end.side], bytes.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) != n)
    p.over = true;
}

} // namespace

void runRelay(int listener, const std::vector<net::Address> &servers) {
  const int epoll = epoll_create1(0);
  epoll_event event{EPOLLIN, {.ptr = nullptr}};
  epoll_ctl(epoll, EPOLL_CTL_ADD, listener, &event);
  std::array<epoll_event, 256> events;
  for (std::size_t next = 0;;) {
    const int n = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < n; ++i) {
      auto *end = static_cast<End *>(events[static_cast<std::size_t>(i)].data.ptr);
      if (end != nullptr) {
        passOn(*end);
        if (end->pair->over)
          close(end->pair->fd[0]), close(end->pair->fd[1]); // its memory stays: a measure is short
        continue;
      }
      const auto &to = servers[next++ % servers.size()];
      auto *pair = new Pair{{accept(listener, nullptr, nullptr), socket(AF_INET, SOCK_STREAM, 0)}};
      if (pair->fd[0] < 0 || connect(pair->fd[1], to.asSockaddr(), to.size()) != 0) std::abort();
      const int on = 1;
      for (int side = 0; side < 2; ++side) {
        setsockopt(pair->fd[side], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        epoll_event both{EPOLLIN, {.ptr = new End{pair, side}}};
        epoll_ctl(epoll, EPOLL_CTL_ADD, pair->fd[side], &both);
      }
    }
  }
}

} // namespace myrtlehead::lab
