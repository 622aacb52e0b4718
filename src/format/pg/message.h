// Version 3 of PostgreSQL's wire protocol: messages parsed from bytes and written to them. No sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

// more: not all of it is there yet; whole: it was parsed; bad: it can't be, whatever follows.
enum class ParseStatus { incomplete, complete, malformed };

constexpr std::size_t kMaxClientMessageBytes = 256 * 1024; // of a client's message
// Of an endpoint's row. More than a client's message: stored rows may have been written another way.
constexpr std::size_t kMaxRowBytes = 4 * 1024 * 1024;

struct Message {
  char type = 0;
  std::string_view body;
  std::size_t size = 0; // with type and length
};
// The message at the front of `in`, to which its body refers; bad where it is longer than `most` bytes.
ParseStatus parseMessage(std::string_view in, Message &out, std::size_t maxBytes = kMaxClientMessageBytes);

// Of the message at the front, by its length field; 0 while that is not there.
std::size_t announcedSize(std::string_view in);

// The first packet of a connection, which has no type.
enum class FirstPacketKind { startup, encryptionRequest, cancelRequest, unknown };
struct Startup {
  FirstPacketKind kind = FirstPacketKind::unknown;
  int minor = 0;        // version of the protocol
  std::size_t size = 0; // with the length
};
ParseStatus parseStartup(std::string_view in, Startup &out);

// Takes a zero-terminated string off the front; false: there is none.
bool takeCString(std::string_view &body, std::string_view &text);

// Checks what an endpoint sends on a connection, message by message, for the one order that answers a
// statement: a RowDescription of one column, one DataRow of one column and CommandComplete, or an
// ErrorResponse, or EmptyQueryResponse; then ReadyForQuery. NoticeResponse and ParameterStatus (aside) may
// come anywhere.
class ReplyValidator {
public:
  enum MessageKind {
    incomplete,
    asynchronous,
    rowDescription,
    dataRow,
    commandComplete,
    errorResponse,
    readyForQuery,
    emptyQuery,
    unexpected,
  };
  // The message at the front of `in`; bad as soon as the bytes show that it may not come there.
  MessageKind next(std::string_view in, Message &out);

private:
  enum Expected { replyStart, rowExpected, completionExpected, readyExpected };
  MessageKind kindOf(char type) const;
  Expected expectedAfter(MessageKind part) const;
  Expected expected_ = replyStart;
  int asynchronousMessages_ = 0; // since the last ReadyForQuery
};

// The SQLSTATE of an ErrorResponse's body; "" where it has none.
std::string_view errorCode(std::string_view body);

// Each appends one message, addSessionStart() and addRow() several, to `out`.
void addMessage(std::string &out, char type, std::string_view body);
void addStartup(std::string &out, std::string_view user, std::string_view database);
void addQuery(std::string &out, std::string_view sql);
// AuthenticationOk, the parameters and BackendKeyData.
void addSessionStart(std::string &out, std::uint32_t process, std::uint32_t secret);
void addNegotiateProtocolVersion(std::string &out); // NegotiateProtocolVersion: only 3.0 is spoken
void addReadyForQuery(std::string &out);            // ReadyForQuery, outside a transaction
void addEmptyQueryResponse(std::string &out);       // EmptyQueryResponse
void addCommandComplete(std::string &out, std::string_view tag);
void addRow(std::string &out, std::string_view column,
            std::string_view value); // described, one column of text

struct ErrorFields {
  std::string_view severity = "ERROR";
  std::string_view code; // SQLSTATE
  std::string_view message;
  std::string_view detail = {};
};
// ErrorResponse; empty fields are left out.
void addError(std::string &out, const ErrorFields &fields);

} // namespace myrtlehead::pg
