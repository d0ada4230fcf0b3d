#include "node/caller_key.h"

#include <algorithm>
#include <vector>

#include <boost/algorithm/string.hpp>

namespace bronzestand::node {
namespace {

constexpr std::string_view BearerPrefix = "bearer ";
constexpr std::string_view QueryName = "api_key";

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  const char Lower = static_cast<char>(C | 0x20);
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const bool IsEscape = Text[Index] == '%' && Index + 2 < Text.size();
    const int High = IsEscape ? hexDigit(Text[Index + 1]) : -1;
    const int Low = IsEscape ? hexDigit(Text[Index + 2]) : -1;
    if (High >= 0 && Low >= 0) {
      Result += static_cast<char>(High * 16 + Low);
      Index += 2;
    } else {
      Result += Text[Index] == '+' ? ' ' : Text[Index];
    }
  }
  return Result;
}

void addKey(TakenKey &Taken, std::string Key) {
  if (Key.empty())
    return;
  if (Taken.Key_ && *Taken.Key_ != Key)
    Taken.Ambiguous_ = true;
  Taken.Key_ = std::move(Key);
}

/// Extracts the key from a header. Returns true if the header may hold credentials and has to be
/// removed.
bool extractFromHeader(const Header &Field, TakenKey &Taken) {
  if (sameName(Field.Name_, "X-Api-Key")) {
    addKey(Taken, boost::trim_copy(Field.Value_));
    return true;
  }
  if (sameName(Field.Name_, "Authorization")) {
    if (boost::istarts_with(Field.Value_, BearerPrefix))
      addKey(Taken, boost::trim_copy(Field.Value_.substr(BearerPrefix.size())));
    return true;
  }
  return sameName(Field.Name_, "Proxy-Authorization");
}

void extractFromQuery(std::string &Target, TakenKey &Taken) {
  const std::size_t QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return;
  std::vector<std::string> Parameters;
  const std::string Text = Target.substr(QueryStart + 1);
  boost::split(Parameters, Text, boost::is_any_of("&"));
  const auto IsKey = [&](const std::string &Parameter) {
    const std::size_t Equals = Parameter.find('=');
    if (!boost::iequals(percentDecoded(Parameter.substr(0, Equals)), QueryName))
      return false;
    if (Equals != std::string::npos)
      addKey(Taken, percentDecoded(Parameter.substr(Equals + 1)));
    return true;
  };
  Parameters.erase(std::remove_if(Parameters.begin(), Parameters.end(), IsKey), Parameters.end());
  Target.resize(QueryStart);
  if (!Parameters.empty())
    Target += "?" + boost::join(Parameters, "&");
}

} // namespace

TakenKey takeKey(HttpRequest &Request) {
  TakenKey Taken;
  auto &Headers = Request.Headers_;
  const auto IsKey = [&](const Header &Field) { return extractFromHeader(Field, Taken); };
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(), IsKey), Headers.end());
  extractFromQuery(Request.Target_, Taken);
  return Taken;
}

void removeNodeHeaders(HttpRequest &Request) {
  auto &Headers = Request.Headers_;
  const auto IsNodeHeader = [](const Header &Field) {
    return boost::istarts_with(Field.Name_, "Bronzestand-") || isHopByHop(Field.Name_) ||
           sameName(Field.Name_, "Idempotency-Key");
  };
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(), IsNodeHeader), Headers.end());
}

} // namespace bronzestand::node
