#include "fuzz/targets.h"

namespace bronzestand::fuzz {

const std::vector<TargetInfo> &targets() {
  static const std::vector<TargetInfo> All{{"request", makeRequestTarget, httpWords},
                                           {"response", makeResponseTarget, httpWords},
                                           {"frame", makeFrameTarget, frameWords}};
  return All;
}

std::vector<std::string> httpWords() {
  return {"\r\n",
          "\r\n\r\n",
          "\n",
          "0\r\n\r\n",
          "ffffffffffffffff\r\n",
          "fff0;x=y\r\n",
          "Content-Length: 5\r\n",
          "Content-Length: -5\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Connection: close\r\n",
          "Connection: keep-alive, upgrade\r\n",
          "Host: b\r\n",
          "Expect: 100-continue\r\n",
          "HTTP/1.0",
          "HTTP/1.1 103 Early Hints\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n",
          "Keep-Alive: timeout=99999999999\r\n",
          "Request-Id: q\r\n",
          "a:b\r\n",
          " ",
          ":"};
}

std::vector<std::string> frameWords() {
  // Heads of CBOR values and tags of short frames.
  return {std::string("\x83\x04\x00", 3),
          std::string("\x85\x00\x00", 3),
          std::string("\x9A\x00\x10\x00\x00", 5),
          std::string("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
          std::string("\xBB\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9),
          std::string("\x5B\x00\x00\x00\x01\x00\x00\x00\x00", 9),
          std::string("\x7A\xFF\xFF\xFF\xFF", 5),
          std::string("\xFB\x7F\xF8\x00\x00\x00\x00\x00\x00", 9),
          "\xF6",
          "\xC0",
          "\x9F",
          "\xFF",
          std::string("\x61\x00\x04text", 7),
          std::string("\x69\xFF\xFF\x03", 4),
          "\x6A",
          "\x6B",
          "\x6C",
          "\x6E",
          "\x6F",
          "\x80",
          "\x81"};
}

} // namespace bronzestand::fuzz
