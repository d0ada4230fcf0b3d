#include <istream>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "bronzestand/key_table.h"
#include "ctl/command.h"

namespace bronzestand::ctl {

const char *const HashKeyUsage = R"(Usage: bronzestandctl hash-key [--json] --salt SALT

Reads a key from the first line of the standard input, so that it does not show in the list of
processes, and prints its hash for a team document.

Options:
  --salt SALT  The key_salt of the fleet document.
  --json       Print the result as JSON.

Exit codes: 0 ok, 2 wrong usage or an empty key, 3 the standard input cannot be read.
)";

ExitCode runHashKey(const Arguments &Given, CommandIo &Io) {
  std::string Key;
  if (!std::getline(Io.In_, Key) && Io.In_.bad()) {
    Io.Err_ << "the standard input cannot be read\n";
    return ExitCode::Unreadable;
  }
  if (!Key.empty() && Key.back() == '\r')
    Key.pop_back();
  if (Key.empty()) {
    Io.Err_ << "the key on the standard input is empty\n";
    return ExitCode::Usage;
  }
  const std::string Hash = hashKey(Given.at("--salt").asString(), Key);
  if (Given.at("--json").asBool())
    Io.Out_ << nlohmann::json{{"hash", Hash}}.dump() << '\n';
  else
    Io.Out_ << Hash << '\n';
  return ExitCode::Ok;
}

} // namespace bronzestand::ctl
