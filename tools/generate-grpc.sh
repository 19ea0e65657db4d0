#!/bin/sh
# Regenerates landingtrack/src/generated/java from the committed schema. The build does not run it.
# Needs protoc and protoc-gen-grpc-java, which it takes from the Maven repository.
set -eu
cd "$(dirname "$0")/.."
protoc_version=4.36.2
grpc_version=1.83.0 # newest one served as a linux-x86_64 file; runs with the 1.85.1 runtime
repo=${MAVEN_REPOSITORY:-$HOME/.m2/repository}
mvn -q -B -Dstyle.color=never dependency:get -Dartifact="com.google.protobuf:protoc:$protoc_version:exe:linux-x86_64" -Dtransitive=false
mvn -q -B -Dstyle.color=never dependency:get -Dartifact="io.grpc:protoc-gen-grpc-java:$grpc_version:exe:linux-x86_64" -Dtransitive=false
protoc=$repo/com/google/protobuf/protoc/$protoc_version/protoc-$protoc_version-linux-x86_64.exe
plugin=$repo/io/grpc/protoc-gen-grpc-java/$grpc_version/protoc-gen-grpc-java-$grpc_version-linux-x86_64.exe
chmod +x "$protoc" "$plugin"
out=landingtrack/src/generated/java
rm -rf "$out"
mkdir -p "$out"
"$protoc" --plugin=protoc-gen-grpc-java="$plugin" --proto_path=landingtrack/src/main/proto \
  --java_out="$out" --grpc-java_out="@generated=omit:$out" operators.proto
