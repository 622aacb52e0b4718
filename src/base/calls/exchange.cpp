#include "base/calls/exchange.h"

namespace myrtlehead::calls {

using net::Cause;
using net::Failure;
using net::Reach;

namespace {
constexpr std::size_t kMostBody = 4 * 1024 * 1024; // held and not yet taken
}

net::Task<Failure> Exchange::ask(net::Address to, std::string request, net::Until until) {
  auto connected = co_await net::connect(sched_, budget_, to, until);
  if (!connected) co_return connected.failure();
  socket_ = std::move(*connected);
  const auto cause = co_await socket_->write(request, until);
  if (cause != Cause::none) co_return Failure{cause, Reach::partlyWritten};
  for (bool any = false;; any = true) {
    std::size_t size = 0;
    const auto parsed = http::parseAnswer(buffer_.view(), head_, size);
    if (parsed == http::Parsed::bad) co_return Failure{Cause::unreadable, Reach::answering};
    if (parsed == http::Parsed::whole) {
      buffer_.consume(size);
      break;
    }
    const auto read = co_await socket_->read(buffer_, until);
    if (read != Cause::none) co_return Failure{read, any ? Reach::answering : Reach::writtenWhole};
  }
  rest_ = http::Body(head_);
  const auto taken = takeBody();
  co_return Failure{taken == Cause::ended ? Cause::none : taken, Reach::answering};
}

Cause Exchange::takeBody() {
  std::size_t used = 0;
  const auto parsed = rest_.take(buffer_.view(), body, used);
  buffer_.consume(used);
  if (parsed == http::Parsed::bad) return Cause::unreadable;
  if (body.size() > kMostBody) return Cause::tooBig;
  whole_ = parsed == http::Parsed::whole;
  return whole_ ? Cause::ended : Cause::none;
}

net::Task<Cause> Exchange::more(net::Until until) {
  const auto before = body.size();
  while (!whole_) {
    const auto read = co_await socket_->read(buffer_, until);
    if (read == Cause::ended) co_return rest_.untilEnd() ? Cause::ended : Cause::broken;
    if (read != Cause::none) co_return read;
    const auto taken = takeBody();
    if (taken == Cause::unreadable || taken == Cause::tooBig) co_return taken;
    if (body.size() > before) co_return Cause::none;
  }
  co_return Cause::ended;
}

} // namespace myrtlehead::calls
