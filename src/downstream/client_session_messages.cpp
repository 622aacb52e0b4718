// The answer to each message of a client.
#include "downstream/client_session.h"

#include <algorithm>
#include <new>
#include <utility>

namespace myrtlehead::downstream {

void ClientSession::replyWithError(std::string_view code, std::string_view message, ReadyForQuery ready) {
  ++invalidCommands_;
  listener_.countClientError(message);
  auto &out = replies_.tail();
  pg::addError(out, {"ERROR", code, message});
  if (ready == ReadyForQuery::atOnce) pg::addReadyForQuery(out);
}

// Answers a request that was not started, because there is no memory for it.
void ClientSession::refuseForMemory() {
  auto &out = replies_.tail();
  pg::addError(out,
               {"ERROR", kRetriableSqlState, "too many large requests; the request can be retried safely"});
  pg::addReadyForQuery(out);
}

net::Task<SessionFlow> ClientSession::handleQuery(std::string_view body) {
  std::string_view sql;
  const bool isComplete = pg::takeCString(body, sql) && body.empty();
  if (!isComplete) {
    co_await failConnection("a Query message must contain exactly one zero-terminated string");
    co_return SessionFlow::end;
  }
  try {
    const auto statement = pg::parseStatement(sql);
    const auto client = co_await awaitRequestIdFree(statement);
    if (client == ClientState::gone) co_return SessionFlow::end;
    answerStatement(statement);
  } catch (const std::bad_alloc &) {
    refuseForMemory();
  }
  co_return SessionFlow::proceed;
}

net::Task<SessionFlow> ClientSession::handleMessage(pg::Message message) {
  constexpr std::string_view kExtendedQueryTypes = "PBDECHF";
  const bool isDiscarded = std::exchange(discarded_, std::nullopt).has_value();
  if (isSkippingToSync_ && message.type != 'S' && message.type != 'X') co_return SessionFlow::proceed;
  if (kExtendedQueryTypes.find(message.type) != std::string_view::npos) {
    isSkippingToSync_ = message.type != 'F'; // a function call is answered without Sync
    replyWithError("0A000", "only the simple query protocol is supported",
                   isSkippingToSync_ ? ReadyForQuery::afterSync : ReadyForQuery::atOnce);
    co_return SessionFlow::proceed;
  }
  switch (message.type) {
  case 'Q': {
    if (isDiscarded) {
      refuseForMemory();
      co_return SessionFlow::proceed;
    }
    const auto handled = co_await handleQuery(message.body);
    co_return handled;
  }
  case 'S': {
    isSkippingToSync_ = false;
    pg::addReadyForQuery(replies_.tail());
    co_return SessionFlow::proceed;
  }
  case 'd':
  case 'c':
  case 'f':
    co_return SessionFlow::proceed; // CopyData, CopyDone, CopyFail: the rest of a rejected COPY
  case 'X':
    co_return SessionFlow::end;
  }
  co_await failConnection("unknown message type");
  co_return SessionFlow::end;
}

bool ClientSession::isOpenOnThisConnection(std::string_view id) const {
  if (!listener_.openRequestIds_.contains(id)) return false;
  return replies_.hasId(id) || (beingWritten_ != nullptr && hasId(beingWritten_->replies, id));
}

// Waits while an earlier request on the same connection has the same id, until the earlier one is answered,
// as it would without pipelining.
net::Task<ClientState> ClientSession::awaitRequestIdFree(const pg::Statement &statement) {
  while (statement.kind == pg::Statement::request && isOpenOnThisConnection(statement.id)) {
    if (isAborted_) co_return ClientState::gone;
    co_await listener_.sched_.wait(answerProgress_);
  }
  co_return ClientState::connected;
}

void ClientSession::answerStatement(const pg::Statement &statement) {
  auto &out = replies_.tail();
  switch (statement.kind) {
  case pg::Statement::request: {
    const auto &routes = listener_.routes_;
    const auto at = std::find(routes.begin(), routes.end(), statement.route);
    if (at == routes.end())
      return replyWithError(statement.sqlState, "unknown route in field c of the request comment");
    return startRequest(statement, static_cast<int>(at - routes.begin()));
  }
  case pg::Statement::malformed:
    return replyWithError(statement.sqlState, statement.errorMessage);
  case pg::Statement::empty:
    pg::addEmptyQueryResponse(out);
    break;
  case pg::Statement::ping:
    pg::addRow(out, "?column?", "1");
    pg::addCommandComplete(out, "SELECT 1");
    break;
  case pg::Statement::session: {
    std::string tag(statement.verb);
    std::transform(tag.begin(), tag.end(), tag.begin(),
                   [](char c) { return static_cast<char>(c - 'a' + 'A'); });
    pg::addCommandComplete(out, tag == "DISCARD" ? "DISCARD ALL" : tag);
    break;
  }
  }
  pg::addReadyForQuery(out);
  phase_ = Phase::used;
}

} // namespace myrtlehead::downstream
