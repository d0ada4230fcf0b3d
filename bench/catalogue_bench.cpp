// Time to load the documents of the two-year size into the catalogue and the key table, and time of
// one change at that size.
#include <chrono>
#include <iostream>

#include <fmt/format.h>

#include "bronzestand/config.h"
#include "bronzestand/key_table.h"

using namespace bronzestand;

namespace {

constexpr int DataCentres = 25;
constexpr int Teams = 400;
constexpr int KeysPerTeam = 4;
constexpr int Changes = 1000;

double millisecondsSince(std::chrono::steady_clock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - Begin)
      .count();
}

ServiceSpec makeService(int Index) {
  ServiceSpec Service;
  Service.Name_ = ServiceId(fmt::format("service-{}", Index));
  for (int Route = 0; Route < 4; ++Route)
    Service.Routes_.push_back({"GET", fmt::format("/service-{}/{}/", Index, Route), Route % 2 == 0,
                               true, ClassId("browsing"), Service.Name_});
  return Service;
}

/// The hosts of a service are spread over the data centres in turn.
HostListSpec makeList(int Service, int DataCentre, int HostsPerService) {
  HostListSpec List;
  List.Service_ = ServiceId(fmt::format("service-{}", Service));
  List.DataCentre_ = DataCentreId(fmt::format("dc-{}", DataCentre));
  for (int Host = 0; Host < HostsPerService; ++Host)
    if ((Service + Host) % DataCentres == DataCentre)
      List.Hosts_.push_back({HostId(fmt::format("host-{}-{}", Service, Host)), List.Service_,
                             List.DataCentre_, "10.0.0.1", 7000, false});
  return List;
}

TeamSpec makeTeam(int Index) {
  TeamSpec Team;
  Team.Name_ = TeamId(fmt::format("team-{}", Index));
  for (int Key = 0; Key < KeysPerTeam; ++Key)
    Team.Keys_.push_back(
        {fmt::format("k{}", Key), hashKey("salt", fmt::format("{}/{}", Index, Key)), false});
  return Team;
}

void measure(int Services, int HostsPerService) {
  std::vector<DocumentBody> Documents;
  std::size_t Hosts = 0;
  for (int Service = 0; Service < Services; ++Service) {
    Documents.emplace_back(makeService(Service));
    for (int DataCentre = 0; DataCentre < DataCentres; ++DataCentre) {
      HostListSpec List = makeList(Service, DataCentre, HostsPerService);
      Hosts += List.Hosts_.size();
      if (!List.Hosts_.empty())
        Documents.emplace_back(std::move(List));
    }
  }
  Catalogue Loaded;
  KeyTable Keys;
  const std::size_t Count = Documents.size() + Teams;
  auto Begin = std::chrono::steady_clock::now();
  for (DocumentBody &Body : Documents)
    Loaded.put(std::move(Body));
  for (int Team = 0; Team < Teams; ++Team) {
    const TeamSpec Spec = makeTeam(Team);
    Loaded.put(Spec);
    Keys.setTeam(Spec);
  }
  const double LoadMs = millisecondsSince(Begin);
  Begin = std::chrono::steady_clock::now();
  for (int Change = 0; Change < Changes; ++Change) {
    Loaded.put(makeList(Change % Services, Change % DataCentres, HostsPerService));
    Keys.setTeam(makeTeam(Change % Teams));
  }
  const double ChangeUs = millisecondsSince(Begin) * 1000 / Changes;
  std::cout << fmt::format("{:>9}{:>9}{:>11}{:>12.1f}{:>14.2f}\n", Hosts, Services, Count, LoadMs,
                           ChangeUs);
}

} // namespace

int main() {
  std::cout << fmt::format("{:>9}{:>9}{:>11}{:>12}{:>14}\n", "hosts", "services", "documents",
                           "load ms", "change us");
  for (const int Services : {200, 400, 800, 1600})
    measure(Services, 14);
}
