// The subset of HTTP/1.1 that the control connections use: decoding of message heads and bodies, and encoding
// of requests. The functions work on buffers and do no I/O.
#pragma once

#include "format/http/form.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::http {

// incomplete: more input is needed. complete: parsed. malformed: no further input can make it valid.
enum class ParseStatus { incomplete, complete, malformed };

struct Head {
  std::string method;                                  // set for a request
  std::string target;                                  // set for a request
  int status = 0;                                      // set for a response
  Fields fields;                                       // names in lower case
  std::string_view field(std::string_view name) const; // "" if there is no such field
};
// Parse the head at the front of `in`. `size` is set to its length in bytes, including the blank line.
ParseStatus parseRequest(std::string_view in, Head &out, std::size_t &size);
ParseStatus parseResponse(std::string_view in, Head &out, std::size_t &size);

// Decodes the body that follows a head. Its end is given by Content-Length, chunked encoding, or the close of
// the connection.
class BodyDecoder {
public:
  explicit BodyDecoder(const Head &head, bool isRequest = false);
  BodyDecoder() = default; // decodes an empty body
  // Decodes as much of `in` as possible and appends it to `content`. `used` is set to the number of consumed
  // bytes. A body that ends with the connection is never reported as complete.
  ParseStatus decode(std::string_view in, std::string &content, std::size_t &used);
  bool endsWithConnection() const { return framing_ == untilClose; }

private:
  ParseStatus decodeChunkLine(std::string_view in, std::size_t &used);
  ParseStatus decodeChunks(std::string_view in, std::string &content, std::size_t &used);
  enum Framing { fixedLength, chunked, untilClose, malformed } framing_ = fixedLength;
  enum ChunkState { sizeLine, data, dataEnd, trailer } chunkState_ = sizeLine;
  std::uint64_t remainingBytes_ = 0; // of the body or of the current chunk
};

// Encodes a request. A non-empty `form` becomes its body, with Content-Type and Content-Length.
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view form = {});

} // namespace myrtlehead::http
