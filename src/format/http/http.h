// HTTP/1.1 as far as it is used here: heads and bodies parsed from bytes, requests written to them. No
// sockets.
#pragma once

#include "format/http/form.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::http {

// more: not all of it is there yet; whole: it was parsed; bad: it can't be, whatever follows.
enum class ParseStatus { incomplete, complete, malformed };

struct Head {
  std::string method;                                  // of a request
  std::string target;                                  // of a request
  int status = 0;                                      // of a response
  Fields fields;                                       // names in lower case
  std::string_view field(std::string_view name) const; // "" where there is none
};
// Parse the head at the front of `in`. `size`: its bytes, with the blank line behind it.
ParseStatus parseRequest(std::string_view in, Head &out, std::size_t &size);
ParseStatus parseResponse(std::string_view in, Head &out, std::size_t &size);

// The body behind a head: by its length, in chunks, or up to the connection's end.
class BodyDecoder {
public:
  explicit BodyDecoder(const Head &head, bool isRequest = false);
  BodyDecoder() = default; // an empty one
  // Takes what it can off the front of `in` and appends it to `content`. `used`: how many bytes of `in`. A
  // body up to the connection's end is never whole.
  ParseStatus decode(std::string_view in, std::string &content, std::size_t &used);
  bool endsWithConnection() const { return framing_ == untilClose; } // of the connection

private:
  ParseStatus decodeChunkLine(std::string_view in, std::size_t &used);
  ParseStatus decodeChunks(std::string_view in, std::string &content, std::size_t &used);
  enum Framing { fixedLength, chunked, untilClose, malformed } framing_ = fixedLength;
  enum ChunkState { sizeLine, data, dataEnd, trailer } chunkState_ = sizeLine;
  std::uint64_t remainingBytes_ = 0; // bytes of the body or the chunk
};

// With a form as its body, where one is given.
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view form = {});

} // namespace myrtlehead::http
