#include "base/http_client/exchange.h"

namespace myrtlehead::http_client {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {
// Limits the memory of a response in which the end of a line or event, for which the caller waits, never
// comes.
constexpr std::size_t kMaxUnconsumedBodyBytes = 4 * 1024 * 1024;
} // namespace

net::Task<Failure> Exchange::sendRequest(net::Address to, std::string request, net::Deadline until) {
  auto connected = co_await net::connect(sched_, budget_, to, until);
  if (!connected) co_return connected.failure();
  socket_ = std::move(*connected);
  const auto written = co_await socket_->write(request, until);
  if (written != ErrorCode::none) co_return Failure{written, SendProgress::partlyWritten};
  const auto failure = co_await readHead(until);
  if (failure.cause != ErrorCode::none) co_return failure;
  bodyDecoder_ = http::BodyDecoder(head_);
  const auto decoded = decodeBody();
  co_return Failure{decoded == ErrorCode::closedByPeer ? ErrorCode::none : decoded,
                    SendProgress::responseStarted};
}

net::Task<Failure> Exchange::readHead(net::Deadline until) {
  auto progress = SendProgress::fullyWritten;
  for (;;) {
    std::size_t size = 0;
    const auto parsed = http::parseResponse(buffer_.view(), head_, size);
    if (parsed == http::ParseStatus::malformed)
      co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
    if (parsed == http::ParseStatus::complete) {
      buffer_.consume(size);
      co_return Failure{ErrorCode::none, SendProgress::responseStarted};
    }
    const auto read = co_await socket_->read(buffer_, until);
    if (read != ErrorCode::none) co_return Failure{read, progress};
    progress = SendProgress::responseStarted;
  }
}

// Decodes the bytes received so far. Returns ErrorCode::closedByPeer if the body is complete.
ErrorCode Exchange::decodeBody() {
  std::size_t used = 0;
  const auto parsed = bodyDecoder_.decode(buffer_.view(), body, used);
  buffer_.consume(used);
  if (parsed == http::ParseStatus::malformed) return ErrorCode::unreadable;
  if (body.size() > kMaxUnconsumedBodyBytes) return ErrorCode::tooLarge;
  isComplete_ = parsed == http::ParseStatus::complete;
  return isComplete_ ? ErrorCode::closedByPeer : ErrorCode::none;
}

void Exchange::readAvailable() {
  if (socket_ == nullptr || head_.status == 0) return;
  auto error = ErrorCode::none;
  while (error == ErrorCode::none && !isComplete_) {
    error = socket_->tryRead(buffer_);
    if (error == ErrorCode::none) error = decodeBody();
  }
}

net::Task<ErrorCode> Exchange::readMore(net::Deadline until) {
  const auto sizeBefore = body.size();
  while (!isComplete_) {
    const auto read = co_await socket_->read(buffer_, until);
    if (read == ErrorCode::closedByPeer)
      co_return bodyDecoder_.endsWithConnection() ? ErrorCode::closedByPeer : ErrorCode::connectionLost;
    if (read != ErrorCode::none) co_return read;
    const auto decoded = decodeBody();
    if (decoded == ErrorCode::unreadable || decoded == ErrorCode::tooLarge) co_return decoded;
    if (body.size() > sizeBefore) co_return ErrorCode::none;
  }
  co_return ErrorCode::closedByPeer;
}

} // namespace myrtlehead::http_client
