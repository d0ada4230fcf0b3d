#ifndef BRONZESTAND_TESTS_STANDINS_STANDIN_H
#define BRONZESTAND_TESTS_STANDINS_STANDIN_H

#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <boost/algorithm/string.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "node/http_server.h"

namespace bronzestand::standin {

/// Command-line options of the form --name value; an option may be given more than once.
class Options {
public:
  Options(int Count, char **Values) {
    for (int Index = 1; Index + 1 < Count; Index += 2)
      Values_[Values[Index]].push_back(Values[Index + 1]);
  }
  std::vector<std::string> all(const std::string &Name) const {
    const auto Found = Values_.find(Name);
    return Found == Values_.end() ? std::vector<std::string>() : Found->second;
  }
  std::string get(const std::string &Name, const std::string &Default = {}) const {
    const auto Found = all(Name);
    return Found.empty() ? Default : Found.back();
  }
  node::Endpoint endpoint(const std::string &Name) const {
    return node::parseEndpoint(get(Name)).value();
  }

private:
  std::map<std::string, std::vector<std::string>> Values_;
};

/// Parameters in the query of a target, without percent-decoding.
inline std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const std::size_t Question = Target.find('?');
  if (Question == std::string::npos)
    return Result;
  std::vector<std::string> Parts;
  const std::string Query = Target.substr(Question + 1);
  boost::split(Parts, Query, boost::is_any_of("&"));
  for (const std::string &Part : Parts) {
    const std::size_t Equals = Part.find('=');
    Result[Part.substr(0, Equals)] =
        Equals == std::string::npos ? std::string() : Part.substr(Equals + 1);
  }
  return Result;
}

inline node::HttpResponse reply(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

/// Runs until SIGTERM.
inline int runUntilSignal(boost::asio::io_context &Io) {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &, int) { Io.stop(); });
  Io.run();
  return 0;
}

inline void startOrExit(node::HttpServer &Server) {
  const absl::Status Result = Server.start();
  if (!Result.ok()) {
    std::cerr << Result.message() << "\n";
    std::exit(3);
  }
}

} // namespace bronzestand::standin

#endif
