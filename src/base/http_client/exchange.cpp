#include "base/http_client/exchange.h"

namespace myrtlehead::http_client {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {
constexpr std::size_t kMostBody = 4 * 1024 * 1024; // held and not yet taken
}

net::Task<Failure> Exchange::ask(net::Address to, std::string request, net::Deadline until) {
  auto connected = co_await net::connect(sched_, budget_, to, until);
  if (!connected) co_return connected.failure();
  socket_ = std::move(*connected);
  const auto cause = co_await socket_->write(request, until);
  if (cause != ErrorCode::none) co_return Failure{cause, SendProgress::partlyWritten};
  for (bool any = false;; any = true) {
    std::size_t size = 0;
    const auto parsed = http::parseAnswer(buffer_.view(), head_, size);
    if (parsed == http::Parsed::bad) co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
    if (parsed == http::Parsed::whole) {
      buffer_.consume(size);
      break;
    }
    const auto read = co_await socket_->read(buffer_, until);
    if (read != ErrorCode::none)
      co_return Failure{read, any ? SendProgress::responseStarted : SendProgress::fullyWritten};
  }
  rest_ = http::Body(head_);
  const auto taken = takeBody();
  co_return Failure{taken == ErrorCode::closedByPeer ? ErrorCode::none : taken,
                    SendProgress::responseStarted};
}

ErrorCode Exchange::takeBody() {
  std::size_t used = 0;
  const auto parsed = rest_.take(buffer_.view(), body, used);
  buffer_.consume(used);
  if (parsed == http::Parsed::bad) return ErrorCode::unreadable;
  if (body.size() > kMostBody) return ErrorCode::tooLarge;
  whole_ = parsed == http::Parsed::whole;
  return whole_ ? ErrorCode::closedByPeer : ErrorCode::none;
}

net::Task<ErrorCode> Exchange::more(net::Deadline until) {
  const auto before = body.size();
  while (!whole_) {
    const auto read = co_await socket_->read(buffer_, until);
    if (read == ErrorCode::closedByPeer)
      co_return rest_.untilEnd() ? ErrorCode::closedByPeer : ErrorCode::connectionLost;
    if (read != ErrorCode::none) co_return read;
    const auto taken = takeBody();
    if (taken == ErrorCode::unreadable || taken == ErrorCode::tooLarge) co_return taken;
    if (body.size() > before) co_return ErrorCode::none;
  }
  co_return ErrorCode::closedByPeer;
}

} // namespace myrtlehead::http_client
