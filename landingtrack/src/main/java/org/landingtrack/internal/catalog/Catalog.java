/*
 * Copyright (C) 2026 The landingtrack authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 * http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.landingtrack.internal.catalog;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.catalog.Spec.Reference;

/**
 * A snapshot of the whole configuration at one revision, with lookups and the checks for changes.
 * Immutable.
 *
 * <p>Lookups tolerate references to deleted objects: changes by two operators may race, so a reader
 * must not rely on the checks at the time of writing. An object with such a reference has no
 * effect.
 */
public final class Catalog {
  /** The catalog without objects, in force until a configuration is received. */
  public static final Catalog EMPTY = new Catalog(0, emptyMaps());

  private final long revision;
  private final Map<Kind, Map<String, Spec>> objects;
  private final Map<String, String> teamByKey = new HashMap<>();
  private final Map<String, List<NamedBackendServer>> serversByService = new HashMap<>();
  private final Map<String, Rule> ruleByTeamAndService = new HashMap<>();

  /** A backend server with its name. */
  public record NamedBackendServer(String name, BackendServer spec) {}

  private Catalog(long revision, Map<Kind, Map<String, Spec>> objects) {
    this.revision = revision;
    this.objects = objects;
    indexTeams();
    indexServers();
    indexRules();
  }

  private static Map<Kind, Map<String, Spec>> emptyMaps() {
    Map<Kind, Map<String, Spec>> maps = new EnumMap<>(Kind.class);
    for (Kind kind : Kind.values()) {
      maps.put(kind, Map.of());
    }
    return maps;
  }

  /** A changed object; an empty spec removes it. */
  public record Update(Kind kind, String name, Optional<Spec> spec) {}

  /** Returns a copy of this catalog with some updates applied. */
  public Catalog with(long newRevision, List<Update> updates) {
    Map<Kind, Map<String, Spec>> next = new EnumMap<>(objects);
    Map<Kind, Map<String, Spec>> copied = new EnumMap<>(Kind.class);
    for (Update update : updates) {
      Map<String, Spec> map =
          copied.computeIfAbsent(update.kind(), kind -> new TreeMap<>(ofKind(kind)));
      if (update.spec().isPresent()) {
        map.put(update.name(), update.spec().get());
      } else {
        map.remove(update.name());
      }
    }
    next.putAll(copied);
    return new Catalog(newRevision, next);
  }

  private void indexTeams() {
    ofKind(Kind.TEAM)
        .forEach(
            (name, spec) -> {
              for (String hash : ((Team) spec).keySha256()) {
                teamByKey.put(hash, name);
              }
            });
  }

  private void indexServers() {
    ofKind(Kind.BACKEND_SERVER)
        .forEach(
            (name, spec) -> {
              BackendServer server = (BackendServer) spec;
              serversByService
                  .computeIfAbsent(server.service(), s -> new ArrayList<>())
                  .add(new NamedBackendServer(name, server));
            });
  }

  private void indexRules() {
    ofKind(Kind.RULE)
        .forEach(
            (name, spec) -> {
              Rule rule = (Rule) spec;
              ruleByTeamAndService.put(rule.team() + "/" + rule.service(), rule);
            });
  }

  /** Returns the revision of the Object API up to which this catalog is complete. */
  public long revision() {
    return revision;
  }

  /** Returns the objects of a kind by name. */
  public Map<String, Spec> ofKind(Kind kind) {
    Map<String, Spec> map = objects.get(kind);
    return map == null ? Map.of() : map;
  }

  /** Returns the number of objects of all kinds. */
  public int size() {
    int size = 0;
    for (Map<String, Spec> map : objects.values()) {
      size += map.size();
    }
    return size;
  }

  /** Finds an object by kind and name. */
  public Optional<Spec> find(Kind kind, String name) {
    return Optional.ofNullable(ofKind(kind).get(name));
  }

  /** Finds an object whose spec has the given type. */
  public <T extends Spec> Optional<T> find(Kind kind, String name, Class<T> type) {
    return find(kind, name).map(type::cast);
  }

  /** Finds the name of the team that owns an API key, by the SHA-256 of the key in hex. */
  public Optional<String> teamOfKey(String keySha256) {
    return Optional.ofNullable(teamByKey.get(keySha256));
  }

  /** Finds the rule that lets a team use a service. */
  public Optional<Rule> rule(String team, String service) {
    return Optional.ofNullable(ruleByTeamAndService.get(team + "/" + service));
  }

  /** Returns the backend servers of a service, in order of name. */
  public List<NamedBackendServer> servers(String service) {
    return serversByService.getOrDefault(service, List.of());
  }

  /**
   * Checks that an object may be written: its values, its references and its uniqueness.
   *
   * @throws LandingtrackException BAD_REQUEST with the reason if it may not
   */
  public void checkWrite(Kind kind, String name, Spec spec) {
    try {
      SpecChecks.name("name", name);
      spec.check();
    } catch (IllegalArgumentException e) {
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST, kind.label() + "/" + name + ": " + e.getMessage(), e);
    }
    for (Reference reference : spec.references()) {
      if (find(reference.kind(), reference.name()).isEmpty()) {
        throw new LandingtrackException(
            ErrorKind.BAD_REQUEST,
            kind.label() + "/" + name + ": " + reference + " does not exist; create it first");
      }
    }
    checkUnique(kind, name, spec);
  }

  private void checkUnique(Kind kind, String name, Spec spec) {
    if (spec instanceof Team team) {
      checkApiKeysUnique(name, team);
    }
    if (!(spec instanceof Rule rule)) {
      return;
    }
    for (Map.Entry<String, Spec> other : ofKind(Kind.RULE).entrySet()) {
      Rule otherRule = (Rule) other.getValue();
      boolean sameTeamAndService =
          otherRule.team().equals(rule.team()) && otherRule.service().equals(rule.service());
      if (sameTeamAndService && !other.getKey().equals(name)) {
        throw new LandingtrackException(
            ErrorKind.BAD_REQUEST,
            kind.label()
                + "/"
                + name
                + ": rule/"
                + other.getKey()
                + " already exists for this team and service");
      }
    }
  }

  private void checkApiKeysUnique(String name, Team team) {
    for (String hash : team.keySha256()) {
      String owner = teamByKey.get(hash);
      if (owner != null && !owner.equals(name)) {
        throw new LandingtrackException(
            ErrorKind.BAD_REQUEST,
            "team/" + name + ": a key in keySha256 already belongs to another team");
      }
    }
  }

  /**
   * Checks that an object may be deleted.
   *
   * @throws LandingtrackException IN_USE with the name of an object that refers to it
   */
  public void checkDelete(Kind kind, String name) {
    Reference target = new Reference(kind, name);
    for (Map.Entry<Kind, Map<String, Spec>> group : objects.entrySet()) {
      for (Map.Entry<String, Spec> entry : group.getValue().entrySet()) {
        if (entry.getValue().references().contains(target)) {
          throw new LandingtrackException(
              ErrorKind.IN_USE,
              target
                  + " is used by "
                  + group.getKey().label()
                  + "/"
                  + entry.getKey()
                  + "; change or delete that first");
        }
      }
    }
  }
}
