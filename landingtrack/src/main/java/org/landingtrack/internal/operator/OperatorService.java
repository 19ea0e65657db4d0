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
package org.landingtrack.internal.operator;

import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Spec;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.membership.MembershipService;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.operators.v1.AuditEntry;
import org.landingtrack.operators.v1.AuditReply;
import org.landingtrack.operators.v1.AuditRequest;
import org.landingtrack.operators.v1.CatalogObject;
import org.landingtrack.operators.v1.DeleteRequest;
import org.landingtrack.operators.v1.ExplainReply;
import org.landingtrack.operators.v1.ExplainRequest;
import org.landingtrack.operators.v1.GetRequest;
import org.landingtrack.operators.v1.ListReply;
import org.landingtrack.operators.v1.ListRequest;
import org.landingtrack.operators.v1.Member;
import org.landingtrack.operators.v1.OperatorsGrpc;
import org.landingtrack.operators.v1.PutReply;
import org.landingtrack.operators.v1.PutRequest;
import org.landingtrack.operators.v1.RolloutReply;
import org.landingtrack.operators.v1.RolloutRequest;
import org.landingtrack.operators.v1.StatusReply;
import org.landingtrack.operators.v1.StatusRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Implements the operators' gRPC interface. Reads come from the local configuration replica;
 * changes go through {@link CatalogWriter} and need the writer role. Thread-safe.
 */
public final class OperatorService extends OperatorsGrpc.OperatorsImplBase {
  private static final Logger log = LoggerFactory.getLogger("operator");
  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 1_000;

  private final CatalogWriter writer;
  private final ConfigReplica replica;
  private final MembershipService membership;
  private final BooleanSupplier platformReachable;
  private final RolloutCounter rolloutCounter;
  private final ExplanationSource explanationSource;
  private final AuditTrail audit;

  public OperatorService(
      ObjectApi api,
      CatalogWriter writer,
      ConfigReplica replica,
      MembershipService membership,
      BooleanSupplier platformReachable,
      RolloutCounter rolloutCounter,
      ExplanationSource explanationSource) {
    this.writer = writer;
    this.replica = replica;
    this.membership = membership;
    this.platformReachable = platformReachable;
    this.rolloutCounter = rolloutCounter;
    this.explanationSource = explanationSource;
    this.audit = new AuditTrail(api, replica);
  }

  private static <T> void answer(StreamObserver<T> observer, Supplier<T> handler) {
    try {
      T reply = handler.get();
      observer.onNext(reply);
      observer.onCompleted();
    } catch (LandingtrackException e) {
      observer.onError(OperatorErrors.toStatusException(e));
    } catch (RuntimeException e) {
      log.warn("An operator call failed with an unexpected error.", e);
      observer.onError(
          OperatorErrors.toStatusException(
              new LandingtrackException(ErrorKind.INTERNAL, e.toString())));
    }
  }

  private static Operator writer() {
    Operator operator = OperatorAuth.OPERATOR_CONTEXT_KEY.get();
    if (operator == null || !operator.canWrite()) {
      throw new LandingtrackException(ErrorKind.FORBIDDEN, "this call needs the writer role");
    }
    return operator;
  }

  private static Kind parseKind(String label) {
    return Kind.ofLabel(label)
        .orElseThrow(
            () ->
                new LandingtrackException(
                    ErrorKind.BAD_REQUEST,
                    "kind '"
                        + label
                        + "' is not one of team, service, model, weight-version, backend-server,"
                        + " rule"));
  }

  private static int checkLimit(int requested) {
    if (requested < 0 || requested > MAX_LIMIT) {
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST,
          "limit must be from 1 to " + MAX_LIMIT + ", or 0 for the default, not " + requested);
    }
    return requested == 0 ? DEFAULT_LIMIT : requested;
  }

  @Override
  public void put(PutRequest request, StreamObserver<PutReply> observer) {
    answer(
        observer,
        () -> {
          Operator operator = writer();
          CatalogObject object = request.getObject();
          CatalogWriter.Outcome outcome =
              writer.put(
                  operator,
                  parseKind(object.getKind()),
                  object.getName(),
                  object.getSpecJson(),
                  request.getExpectedVersion(),
                  request.getDryRun());
          return toPutReply(operator, object.getKind() + "/" + object.getName(), outcome);
        });
  }

  @Override
  public void delete(DeleteRequest request, StreamObserver<PutReply> observer) {
    answer(
        observer,
        () -> {
          Operator operator = writer();
          CatalogWriter.Outcome outcome =
              writer.delete(
                  operator,
                  parseKind(request.getKind()),
                  request.getName(),
                  request.getExpectedVersion());
          return toPutReply(operator, request.getKind() + "/" + request.getName(), outcome);
        });
  }

  private static PutReply toPutReply(
      Operator operator, String subject, CatalogWriter.Outcome outcome) {
    if (!outcome.changeId().isEmpty()) {
      log.info(
          "Operator {} changed {} to version {} (change {}).",
          operator.name(),
          subject,
          outcome.version(),
          outcome.changeId());
    }
    return PutReply.newBuilder()
        .setVersion(outcome.version())
        .setRevision(outcome.revision())
        .setChangeId(outcome.changeId())
        .setChanged(outcome.changed())
        .setBeforeJson(outcome.before())
        .setAfterJson(outcome.after())
        .build();
  }

  @Override
  public void get(GetRequest request, StreamObserver<CatalogObject> observer) {
    answer(
        observer,
        () -> {
          Kind kind = parseKind(request.getKind());
          Spec spec =
              replica
                  .catalog()
                  .find(kind, request.getName())
                  .orElseThrow(
                      () ->
                          new LandingtrackException(
                              ErrorKind.NOT_FOUND,
                              request.getKind() + "/" + request.getName() + " does not exist"));
          return toCatalogObject(kind, request.getName(), spec);
        });
  }

  private CatalogObject toCatalogObject(Kind kind, String name, Spec spec) {
    CatalogObject.Builder builder =
        CatalogObject.newBuilder()
            .setKind(kind.label())
            .setName(name)
            .setSpecJson(Json.write(spec));
    replica
        .entry(kind, name)
        .ifPresent(
            entry -> builder.setVersion(decode(entry).version()).setRevision(entry.revision()));
    return builder.build();
  }

  private static StoredEntry decode(ConfigEntry entry) {
    return Json.read(entry.key(), entry.value(), StoredEntry.class);
  }

  @Override
  public void list(ListRequest request, StreamObserver<ListReply> observer) {
    answer(
        observer,
        () -> {
          Kind kind = parseKind(request.getKind());
          int limit = checkLimit(request.getLimit());
          ListReply.Builder reply = ListReply.newBuilder();
          String last = "";
          Catalog catalog = replica.catalog();
          for (Map.Entry<String, Spec> entry : catalog.ofKind(kind).entrySet()) {
            if (entry.getKey().compareTo(request.getAfter()) <= 0) {
              continue;
            }
            if (reply.getObjectsCount() == limit) {
              reply.setNext(last);
              break;
            }
            last = entry.getKey();
            reply.addObjects(toCatalogObject(kind, entry.getKey(), entry.getValue()));
          }
          return reply.build();
        });
  }

  @Override
  public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
    answer(
        observer,
        () -> {
          StatusReply.Builder reply =
              StatusReply.newBuilder()
                  .setVm(membership.self().vm())
                  .setDataCentre(membership.self().dataCentre())
                  .setRevision(replica.revision())
                  .setPlatformReachable(platformReachable.getAsBoolean())
                  .setObjects(replica.catalog().size());
          for (var member : membership.members()) {
            reply.addMembers(
                Member.newBuilder()
                    .setVm(member.vm())
                    .setDataCentre(member.dataCentre())
                    .setState(member.state().name())
                    .setIncarnation(member.incarnation()));
          }
          return reply.build();
        });
  }

  @Override
  public void rollout(RolloutRequest request, StreamObserver<RolloutReply> observer) {
    answer(
        observer,
        () -> {
          RolloutCounter.Count count = rolloutCounter.count(request.getRevision());
          return RolloutReply.newBuilder()
              .setInForce(count.inForce())
              .setLive(count.live())
              .build();
        });
  }

  @Override
  public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
    answer(
        observer,
        () -> {
          String subject = request.getSubject();
          List<String> sentences =
              subject.contains("/") ? explainObject(subject) : explanationSource.explain(subject);
          return ExplainReply.newBuilder()
              .setKnown(!sentences.isEmpty())
              .addAllSentences(sentences)
              .build();
        });
  }

  private List<String> explainObject(String subject) {
    int slash = subject.indexOf('/');
    return audit.explain(parseKind(subject.substring(0, slash)), subject.substring(slash + 1));
  }

  @Override
  public void audit(AuditRequest request, StreamObserver<AuditReply> observer) {
    answer(
        observer,
        () -> {
          AuditTrail.Page page = findChanges(request);
          AuditReply.Builder reply = AuditReply.newBuilder().setWhole(page.complete());
          page.entries().forEach(entry -> reply.addEntries(toAuditEntry(entry)));
          return reply.build();
        });
  }

  private AuditTrail.Page findChanges(AuditRequest request) {
    int limit = checkLimit(request.getLimit());
    if (request.getKind().isEmpty()) {
      return audit.lastChanges(Optional.empty(), limit);
    }
    Kind kind = parseKind(request.getKind());
    return request.getName().isEmpty()
        ? audit.lastChanges(Optional.of(kind), limit)
        : audit.changesOf(kind, request.getName(), limit);
  }

  private static AuditEntry toAuditEntry(AuditTrail.Entry entry) {
    StoredEntry.Change change = entry.change();
    return AuditEntry.newBuilder()
        .setChangeId(change.changeId())
        .setAtMs(change.atMs())
        .setOperator(change.operator())
        .setFrom(change.from())
        .setSubject(entry.subject())
        .setAction(change.action())
        .setBefore(change.before() == null ? "" : change.before().toString())
        .setAfter(change.after() == null ? "" : change.after().toString())
        .setVersion(change.version())
        .build();
  }
}
