// Encoding and decoding of messages of the PostgreSQL wire protocol, version 3. The functions work on buffers
// and do no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

// incomplete: more input is needed. complete: parsed. malformed: no further input can make it valid.
enum class ParseStatus { incomplete, complete, malformed };

constexpr std::size_t kMaxClientMessageBytes = 256 * 1024;
// A row from an endpoint may be larger than a client's message, because stored rows may have been written by
// other means than this gateway.
constexpr std::size_t kMaxRowBytes = 4 * 1024 * 1024;

struct Message {
  char type = 0;
  std::string_view body;
  std::size_t size = 0; // including type and length
};
// Parses the message at the front of `in`; the body of `out` refers to `in`. The message is malformed if its
// length field exceeds `maxBytes`.
ParseStatus parseMessage(std::string_view in, Message &out, std::size_t maxBytes = kMaxClientMessageBytes);

// Returns the size in bytes of the message at the front of `in` according to its length field, or 0 if the
// length field is incomplete.
std::size_t announcedSize(std::string_view in);

// The kind of the first packet of a connection, which has no type byte.
enum class FirstPacketKind { startup, encryptionRequest, cancelRequest, unknown };
struct Startup {
  FirstPacketKind kind = FirstPacketKind::unknown;
  int minor = 0;        // minor protocol version
  std::size_t size = 0; // including the length field
};
ParseStatus parseStartup(std::string_view in, Startup &out);

// Removes a null-terminated string from the front of `body`. Returns false if there is no terminator.
bool takeCString(std::string_view &body, std::string_view &text);

// Validates the messages that an endpoint sends on a connection. The only valid reply to a statement is
// one of
//   - RowDescription of one column, one DataRow of one column, CommandComplete,
//   - ErrorResponse instead of any of these messages,
//   - EmptyQueryResponse,
// followed by ReadyForQuery. The asynchronous messages NoticeResponse and ParameterStatus may occur anywhere.
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
  // Parses the message at the front of `in`. Returns `unexpected` as soon as the received bytes show that the
  // message is invalid or out of order, and `incomplete` if more input is needed.
  MessageKind next(std::string_view in, Message &out);

private:
  enum Expected { replyStart, rowExpected, completionExpected, readyExpected };
  MessageKind kindOf(char type) const;
  Expected expectedAfter(MessageKind kind) const;
  Expected expected_ = replyStart;
  int asynchronousMessages_ = 0; // count since the last ReadyForQuery
};

// Returns the SQLSTATE in the body of an ErrorResponse, or "" if it has none.
std::string_view errorCode(std::string_view body);

// Each function appends one message to `out`; addSessionStart() and addRow() append several.
void addMessage(std::string &out, char type, std::string_view body);
void addStartup(std::string &out, std::string_view user, std::string_view database);
void addQuery(std::string &out, std::string_view sql);
// The beginning of a Query message, which is followed by `sqlBytes` bytes of SQL and a null byte.
void addQueryHeader(std::string &out, std::size_t sqlBytes);
// AuthenticationOk, ParameterStatus for each reported parameter, and BackendKeyData.
void addSessionStart(std::string &out, std::uint32_t process, std::uint32_t secret);
void addNegotiateProtocolVersion(std::string &out); // offers only version 3.0
// A ParameterStatus that repeats a value of addSessionStart(). Clients ignore it.
void addRepeatedParameter(std::string &out);
void addReadyForQuery(std::string &out); // with the status "not in a transaction"
void addEmptyQueryResponse(std::string &out);
void addCommandComplete(std::string &out, std::string_view tag);
// RowDescription and DataRow with one column of type text.
void addRow(std::string &out, std::string_view column, std::string_view value);

struct ErrorFields {
  std::string_view severity = "ERROR";
  std::string_view code; // SQLSTATE
  std::string_view message;
  std::string_view detail = {};
};
// ErrorResponse; empty fields are omitted.
void addError(std::string &out, const ErrorFields &fields);

} // namespace myrtlehead::pg
