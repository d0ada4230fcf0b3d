// TCP proxy between nodes that injects faults. Each --route NAME=LISTEN=TARGET forwards one
// listener to one host. The opener of a connection is known from the Bronzestand-Host header of
// the WebSocket upgrade. /control/rule?from=A&to=B&mode=M sets what happens to bytes from A to B:
// pass, hold (silent, nothing is closed), cut (connections are reset and refused) or delay (bytes
// come late).
// /control/freeze?from=A&to=B makes the open connections silent for good; new ones work.
#include <array>
#include <list>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "standin.h"

using namespace bronzestand;
using namespace bronzestand::standin;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view HostHeader = "Bronzestand-Host: ";
/// How late bytes come in the mode delay; more than a round trip between far regions.
constexpr std::chrono::milliseconds Delay{150};

class Rules {
public:
  std::string modeOf(const std::string &From, const std::string &To) const {
    for (const auto &Key : {std::pair(From, To), std::pair(From, std::string("*")),
                            std::pair(std::string("*"), To)}) {
      const auto Found = Modes_.find(Key);
      if (Found != Modes_.end())
        return Found->second;
    }
    return "pass";
  }
  void set(const std::string &From, const std::string &To, const std::string &Mode) {
    Modes_[{From, To}] = Mode;
  }
  void clear() { Modes_.clear(); }

private:
  std::map<std::pair<std::string, std::string>, std::string> Modes_;
};

class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
  Tunnel(tcp::socket Opener, std::string Target, const Rules &Faults)
      : Opener_(std::move(Opener)), Target_(Opener_.get_executor()), To_(std::move(Target)),
        Faults_(Faults) {}

  void start(const tcp::endpoint &Address) {
    auto Self = shared_from_this();
    Target_.async_connect(Address, [Self](error_code Failure) {
      if (Failure)
        return Self->close();
      Self->pump(Self->Opener_, Self->Target_, Self->Upward_, true);
      Self->pump(Self->Target_, Self->Opener_, Self->Downward_, false);
    });
  }

  /// Applies changed rules: resets a cut connection and lets held bytes go on.
  void applyRules() {
    if (mode(true) == "cut" || mode(false) == "cut")
      return close();
    for (auto *Resume : {&HeldUpward_, &HeldDownward_})
      if (*Resume && mode(Resume == &HeldUpward_) == "pass")
        std::exchange(*Resume, nullptr)();
  }

  bool isOpen() const { return Opener_.is_open(); }

  /// Holds the bytes from one host to another for the rest of this connection.
  void freeze(const std::string &From, const std::string &To) {
    const auto Matches = [](const std::string &Rule, const std::string &Name) {
      return Rule == "*" || Rule == Name;
    };
    FrozenUpward_ = FrozenUpward_ || (Matches(From, From_) && Matches(To, To_));
    FrozenDownward_ = FrozenDownward_ || (Matches(From, To_) && Matches(To, From_));
  }

private:
  using Chunk = std::array<char, 16384>;

  std::string mode(bool Upward) const {
    if (Upward ? FrozenUpward_ : FrozenDownward_)
      return "hold";
    return Upward ? Faults_.modeOf(From_, To_) : Faults_.modeOf(To_, From_);
  }

  void pump(tcp::socket &In, tcp::socket &Out, Chunk &Data, bool Upward) {
    auto Self = shared_from_this();
    In.async_read_some(boost::asio::buffer(Data),
                       [=, &In, &Out, &Data](error_code Failure, std::size_t Size) {
                         if (Failure)
                           return Self->close();
                         if (Upward && Self->From_.empty())
                           Self->learnOpener(std::string_view(Data.data(), Size));
                         Self->forward(In, Out, Data, Size, Upward);
                       });
  }

  void forward(tcp::socket &In, tcp::socket &Out, Chunk &Data, std::size_t Size, bool Upward) {
    auto Self = shared_from_this();
    const std::string Mode = mode(Upward);
    if (Mode == "cut")
      return close();
    if (Mode == "hold") {
      (Upward ? HeldUpward_ : HeldDownward_) = [=, &In, &Out, &Data] {
        Self->forward(In, Out, Data, Size, Upward);
      };
      return;
    }
    if (Mode == "delay") {
      auto Timer = std::make_shared<boost::asio::steady_timer>(Out.get_executor(), Delay);
      Timer->async_wait([=, &In, &Out, &Data](error_code) {
        if (Timer && Self->isOpen())
          Self->write(In, Out, Data, Size, Upward);
      });
      return;
    }
    write(In, Out, Data, Size, Upward);
  }

  void write(tcp::socket &In, tcp::socket &Out, Chunk &Data, std::size_t Size, bool Upward) {
    auto Self = shared_from_this();
    boost::asio::async_write(Out, boost::asio::buffer(Data.data(), Size),
                             [=, &In, &Out, &Data](error_code Failure, std::size_t) {
                               if (Failure)
                                 return Self->close();
                               Self->pump(In, Out, Data, Upward);
                             });
  }

  void learnOpener(std::string_view Text) {
    const std::size_t Start = Text.find(HostHeader);
    From_ = "unknown";
    if (Start == std::string_view::npos)
      return;
    Text.remove_prefix(Start + HostHeader.size());
    From_ = std::string(Text.substr(0, Text.find('\r')));
  }

  void close() {
    error_code Ignored;
    Opener_.close(Ignored);
    Target_.close(Ignored);
    HeldUpward_ = HeldDownward_ = nullptr;
  }

  tcp::socket Opener_;
  tcp::socket Target_;
  std::string From_;
  std::string To_;
  const Rules &Faults_;
  Chunk Upward_{};
  Chunk Downward_{};
  std::function<void()> HeldUpward_;
  std::function<void()> HeldDownward_;
  bool FrozenUpward_ = false;
  bool FrozenDownward_ = false;
};

class Proxy {
public:
  Proxy(boost::asio::io_context &Io, const Options &Given) : Io_(Io) {
    for (const std::string &Text : Given.all("--route")) {
      std::vector<std::string> Fields;
      boost::split(Fields, Text, boost::is_any_of("="));
      listen(Fields.at(0), node::parseEndpoint(Fields.at(1)).value(),
             node::parseEndpoint(Fields.at(2)).value());
    }
  }

  node::HttpResponse control(const node::HttpRequest &Request) {
    const auto Query = queryOf(Request.Target_);
    if (node::pathOf(Request.Target_) == "/control/clear")
      Faults_.clear();
    else if (node::pathOf(Request.Target_) == "/control/freeze")
      freeze(Query.at("from"), Query.at("to"));
    else
      Faults_.set(Query.at("from"), Query.at("to"), Query.at("mode"));
    for (const auto &Item : Tunnels_)
      if (const auto Alive = Item.lock())
        Alive->applyRules();
    return reply(200, "{}");
  }

private:
  void freeze(const std::string &From, const std::string &To) {
    for (const auto &Item : Tunnels_)
      if (const auto Alive = Item.lock())
        Alive->freeze(From, To);
  }

  static tcp::endpoint toAddress(const node::Endpoint &Address) {
    return {boost::asio::ip::make_address(Address.Address_), Address.Port_};
  }

  void listen(const std::string &Name, const node::Endpoint &Listen, const node::Endpoint &Target) {
    Acceptors_.push_back(std::make_unique<tcp::acceptor>(Io_, toAddress(Listen)));
    accept(*Acceptors_.back(), Name, toAddress(Target));
  }

  void accept(tcp::acceptor &Acceptor, const std::string &Name, const tcp::endpoint &Target) {
    Acceptor.async_accept([=, &Acceptor](error_code Failure, tcp::socket Socket) {
      if (!Failure && Faults_.modeOf("*", Name) != "cut") {
        error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        const auto Item = std::make_shared<Tunnel>(std::move(Socket), Name, Faults_);
        Tunnels_.remove_if([](const auto &Old) {
          const auto Alive = Old.lock();
          return !Alive || !Alive->isOpen();
        });
        Tunnels_.push_back(Item);
        Item->start(Target);
      }
      accept(Acceptor, Name, Target);
    });
  }

  boost::asio::io_context &Io_;
  Rules Faults_;
  std::list<std::weak_ptr<Tunnel>> Tunnels_;
  std::vector<std::unique_ptr<tcp::acceptor>> Acceptors_;
};

} // namespace

int main(int argc, char **argv) {
  const Options Given(argc, argv);
  boost::asio::io_context Io(1);
  Proxy Faults(Io, Given);
  node::HttpServer Control(
      Io, Given.endpoint("--control"), {},
      [&](const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
        Exchange->respond(Faults.control(Request));
      });
  startOrExit(Control);
  return runUntilSignal(Io);
}
